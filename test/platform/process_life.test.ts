/** The life of the deployed process: what it meets at the start, and its end. */
import {ChildProcess, execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {constants, closeSync, openSync, writeSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {waitUntil} from '../../src/standins/harness/wait_for.js';
import {expect} from '../support/chai_setup.js';
import {UpstreamStandin, findPorts} from './fleet_standin.js';
import {BUNDLE, ProcessMachine} from './process_machine.js';
import {StoreStandin} from './store_standin.js';

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
    const args = [...preload, '--max-old-space-size=200', BUNDLE];
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

  /** Waits until the readiness port answers, or fails if the process ends. */
  function waitForAnswer(): Promise<void> {
    return waitUntil('the readiness port to answer', async () => {
      expect([child.exitCode, child.signalCode]).to.deep.equal([null, null]);
      return machine.getInternal('/ready', 1).then(
        () => true,
        () => false,
      );
    });
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
});
