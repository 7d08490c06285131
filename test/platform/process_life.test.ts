/** The life of the deployed process: what it meets at the start, and its end. */
import {ChildProcess, execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {constants, closeSync, openSync, writeSync} from 'node:fs';
import {readFile, rename, rm, writeFile} from 'node:fs/promises';
import {Server, createServer} from 'node:net';
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../../src/standins/harness/wait_for.js';
import {expect} from '../support/chai_setup.js';
import {UpstreamStandin, findPorts} from './fleet_standin.js';
import {BUNDLE, ProcessMachine} from './process_machine.js';
import {StoreStandin} from './store_standin.js';

/** Flags of the deploy file. */
const FLAGS = ['--max-old-space-size=200', '--liftoff-only'];

const SIGNAL_AT_LOAD = './test/platform/signal_at_load.cjs';
const HOST = '127.0.3.1';

/** Opens a pipe that nobody reads, and fills it. Returns its ends. */
function openFullPipe(path: string): {reader: number; writer: number} {
  execFileSync('mkfifo', [path]);
  const {O_NONBLOCK, O_RDWR, O_WRONLY} = constants;
  const reader = openSync(path, O_RDWR | O_NONBLOCK);
  const writer = openSync(path, O_WRONLY);
  for (let size = 4_096; size >= 1; size /= 2) {
    try {
      for (;;) {
        writeSync(reader, 'x'.repeat(size));
      }
    } catch (error) {
      expect((error as NodeJS.ErrnoException).code).to.equal('EAGAIN');
    }
  }
  return {reader, writer};
}

describe('process of the daemon', () => {
  const store = new StoreStandin();
  let machine: ProcessMachine;
  let settings: string;
  let child: ChildProcess;
  /** Exit code and signal, once the process has ended. */
  let ended: Promise<unknown[]>;

  beforeEach(async () => {
    const upstream = new UpstreamStandin('i-1');
    const source = await store.start();
    machine = new ProcessMachine(HOST, upstream, await findPorts(), source);
    settings = await machine.prepare();
  });

  afterEach(async () => {
    if (child.exitCode === null && child.signalCode === null) {
      child.kill('SIGKILL');
      await ended;
    }
    await machine.stopProxy();
    await machine.upstream.stop();
    await store.stop();
  });

  function start(stdout: number | 'ignore' = 'ignore', signal?: string): void {
    const preload = signal === undefined ? [] : ['--require', SIGNAL_AT_LOAD];
    const args = [...preload, ...FLAGS, BUNDLE];
    child = spawn(process.execPath, args, {
      stdio: ['ignore', stdout, 'ignore'],
      env: {
        ...process.env,
        FIREFLYSILL_SETTINGS: settings,
        TEST_SIGNAL: signal,
      },
    });
    ended = once(child, 'exit');
  }

  /** Waits for a condition, and fails if the process ends before. */
  function waitWhileAlive(
    description: string,
    condition: () => Promise<boolean>,
  ): Promise<void> {
    return waitUntil(description, async () => {
      expect([child.exitCode, child.signalCode]).to.deep.equal([null, null]);
      return condition();
    });
  }

  function waitForAnswer(): Promise<void> {
    return waitWhileAlive('the readiness port to answer', () =>
      machine.getInternal('/ready', 1).then(
        () => true,
        () => false,
      ),
    );
  }

  /** Starts the process, and waits until its log names a cause for waiting. */
  async function startWaiting(cause: string): Promise<void> {
    const log = join(dirname(settings), 'log');
    const fd = openSync(log, 'w');
    start(fd);
    closeSync(fd);
    await waitWhileAlive('the log to tell the cause', async () =>
      (await readFile(log, 'utf8')).includes(`"cause":"${cause}"`),
    );
    expect(await machine.isReady()).to.equal(false);
  }

  async function countStartFailures(): Promise<number> {
    const log = await readFile(join(dirname(settings), 'log'), 'utf8');
    return log.split('Proxy cannot start yet').length - 1;
  }

  async function occupy(port: number): Promise<Server> {
    const server = createServer(socket => socket.destroy());
    server.listen(port, HOST);
    await once(server, 'listening');
    return server;
  }

  async function expectPlannedStop(): Promise<void> {
    child.kill('SIGTERM');
    expect(await ended).to.deep.equal([0, null]);
  }

  it('ends a planned stop although nobody reads its log', async () => {
    const pipe = openFullPipe(join(dirname(settings), 'log'));
    start(pipe.writer);
    closeSync(pipe.writer);
    try {
      await waitForAnswer();
      await expectPlannedStop();
    } finally {
      closeSync(pipe.reader);
    }
  }).timeout(30_000);

  it('is not ended by a SIGHUP while it loads', async () => {
    start('ignore', 'SIGHUP');
    await waitForAnswer();
    await expectPlannedStop();
  }).timeout(30_000);

  it('ends as planned at a SIGTERM while it loads', async () => {
    start('ignore', 'SIGTERM');
    expect(await ended).to.deep.equal([0, null]);
  }).timeout(30_000);

  for (const [title, change] of [
    ['are missing', undefined],
    ['are empty', () => ''],
    ['are half written', (text: string) => text.slice(0, text.length / 2)],
    ['lack an address', (text: string) => text.replace('"peers"', '"pears"')],
  ] as const) {
    it(`starts once its settings, which ${title}, are whole`, async () => {
      const text = await readFile(settings, 'utf8');
      await (change === undefined
        ? rm(settings)
        : writeFile(settings, change(text)));
      await startWaiting('settings');
      await writeFile(`${settings}.new`, text);
      await rename(`${settings}.new`, settings);
      await waitForAnswer();
    }).timeout(30_000);
  }

  for (const [title, offset] of [
    ['callers', 0],
    ['readiness', 1],
    ['operators', 2],
    ['peers', 3],
  ] as const) {
    it(`starts once its address for ${title} is free`, async () => {
      const server = await occupy(machine.callersPort + offset);
      await startWaiting('address');
      server.close();
      await waitForAnswer();
      const {body} = await machine.getInternal('/metrics', 2);
      expect(body).to.match(/start_retry_total{reason="address"} [1-9]/);
    }).timeout(30_000);
  }

  it('ends as planned while it waits to start', async () => {
    const server = await occupy(machine.callersPort);
    await startWaiting('address');
    await expectPlannedStop();
    server.close();
  }).timeout(30_000);

  it('logs a cause for waiting once, whatever SIGHUPs come', async () => {
    await writeFile(settings, '');
    await startWaiting('settings');
    for (let n = 0; n < 50; n += 1) {
      child.kill('SIGHUP');
      await sleep(5);
    }
    expect(await countStartFailures()).to.equal(1);
    await writeFile(settings, '{}');
    child.kill('SIGHUP');
    await waitWhileAlive(
      'the other cause to be logged',
      async () => (await countStartFailures()) === 2,
    );
  }).timeout(30_000);
});
