import {Agent, request} from 'undici';
import {HealthReporter} from '../../src/standins/upstream/health_reporter.js';
import {JournalEntry} from '../../src/standins/upstream/journal.js';
import {UpstreamOptions} from '../../src/standins/upstream/options.js';
import {
  UpstreamPorts,
  UpstreamStandin,
} from '../../src/standins/upstream/upstream_standin.js';
import {runWork} from '../../src/standins/upstream/work.js';
import {expect} from '../support/chai_setup.js';

const NEVER_ENDING_MS = '3600000';

describe('upstream stand-in', () => {
  let standin: UpstreamStandin;
  let ports: UpstreamPorts;
  let journal: JournalEntry[];
  let crashes: number;
  let now: number;
  let agent: Agent;

  async function start(options: Partial<UpstreamOptions> = {}): Promise<void> {
    standin = new UpstreamStandin(
      {id: 'desk-1', ...options},
      {
        now: () => now,
        onJournal: entry => journal.push(entry),
        crash: () => {
          crashes += 1;
          void standin.stop();
        },
      },
    );
    ports = await standin.start();
  }

  beforeEach(() => {
    journal = [];
    crashes = 0;
    now = 1_000;
    agent = new Agent();
  });

  afterEach(async () => {
    await standin.stop();
    await agent.destroy();
  });

  async function send(
    path: string,
    headers: Record<string, string> = {},
    signal?: AbortSignal,
  ) {
    const res = await request(`http://127.0.0.1:${ports.port}${path}`, {
      method: 'POST',
      headers,
      body: 'plan=pause',
      signal,
      dispatcher: agent,
    });
    const body = (await res.body.json()) as Record<string, unknown>;
    const refused = res.headers['upstream-refused'];
    return {status: res.statusCode, refused, body};
  }

  async function callControl(path: string, body?: unknown) {
    const res = await request(`http://127.0.0.1:${ports.sidePort}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      body: JSON.stringify(body),
    });
    return (await res.body.json()) as Record<string, unknown>;
  }

  async function health() {
    const res = await request(`http://127.0.0.1:${ports.port}/health`);
    return ((await res.body.json()) as {status: string}).status;
  }

  async function waitForRunning(count: number): Promise<void> {
    while ((await callControl('/side/stats'))['running'] !== count) {
      // Polls until the requests have arrived or ended.
    }
  }

  it('runs a request and journals start and effect', async () => {
    await start();
    const answer = await send('/plans/7?echo=mine', {
      'fireflysill-attempt': 'attempt-1',
      'fireflysill-key': 'key-1',
      'fireflysill-deadline-ms': '1000',
      'x-pad-bytes': '3',
    });
    expect({answer, journal}).toMatchSnapshot();
    expect(await callControl('/side/journal')).toMatchSnapshot();
  });

  it('sheds requests beyond its slots and names the cause', async () => {
    await start({slots: 1});
    const abort = new AbortController();
    const first = send(
      '/a',
      {'x-work-ms': NEVER_ENDING_MS},
      abort.signal,
    ).catch(() => 'aborted');
    await waitForRunning(1);
    const second = await send('/b');
    abort.abort();
    await first;
    await waitForRunning(0);
    const third = await send('/c');
    expect([second, third.status]).toMatchSnapshot();
  });

  it('stops cancelled work before its effect', async () => {
    await start();
    const abort = new AbortController();
    const cancelled = send(
      '/a',
      {'x-work-ms': NEVER_ENDING_MS},
      abort.signal,
    ).catch(() => 'aborted');
    await waitForRunning(1);
    abort.abort();
    expect(await cancelled).to.equal('aborted');
    await waitForRunning(0);
    expect(journal).toMatchSnapshot();
  });

  it('stops work at its deadline, before its effect', async () => {
    await start();
    const answer = await send('/a', {
      'x-work-ms': NEVER_ENDING_MS,
      'fireflysill-deadline-ms': '5',
    });
    expect({answer, journal}).toMatchSnapshot();
  });

  it('finishes running requests while draining and refuses new ones', async () => {
    await start();
    const running = send('/a', {'x-work-ms': '50'});
    await waitForRunning(1);
    await callControl('/side/drain', {});
    const refused = await send('/b');
    const status = await health();
    const drained = standin.drain();
    const finished = await running;
    await drained;
    expect({refused, status, finished: finished.status}).toMatchSnapshot();
    expect(journal).toMatchSnapshot();
  });

  it('crashes on a marked request, whose start stays in the journal', async () => {
    await start();
    const answer = await send('/a', {'x-crash': '1'}).catch(() => 'cut');
    expect({answer, crashes, journal}).toMatchSnapshot();
  });

  it('truncates an answer after the effect', async () => {
    await start();
    const answer = await send('/a', {'x-truncate': '1'}).catch(() => 'cut');
    expect({answer, journal}).toMatchSnapshot();
  });

  it('reports outdated or overridden health when configured to', async () => {
    await start();
    const reported = [await health()];
    await callControl('/side/health', {pretend: 'down'});
    reported.push(await health());
    await callControl('/side/health', {pretend: null, lagMs: 100});
    await callControl('/side/drain', {draining: true});
    reported.push(await health());
    now += 100;
    reported.push(await health());
    expect(reported).to.deep.equal(['ok', 'down', 'ok', 'draining']);
  });

  it('reports the state before the lag, whatever followed', () => {
    const reporter = new HealthReporter(100, () => now);
    reporter.record('ok', 1);
    now += 60;
    reporter.record('draining', 2);
    now += 60;
    reporter.record('draining', 3);
    const first = reporter.getReportedHealth();
    now += 90;
    expect([first, reporter.getReportedHealth()]).toMatchSnapshot();
  });

  it('refuses invalid marks with the name of the mark', async () => {
    await start();
    const answers = [
      await send('/a', {'x-work-ms': 'long'}),
      await send('/a', {'fireflysill-deadline-ms': '-5'}),
      await send('/a?crash=yes'),
    ];
    expect({answers, journal}).toMatchSnapshot();
  });

  it('drops connections beyond its limit', async () => {
    await start({connections: 1});
    const abort = new AbortController();
    const first = send(
      '/a',
      {'x-work-ms': NEVER_ENDING_MS},
      abort.signal,
    ).catch(() => 'aborted');
    await waitForRunning(1);
    const second = await send('/b').catch(() => 'dropped');
    const stats = await callControl('/side/stats');
    abort.abort();
    await first;
    expect({second, dropped: stats['connectionsDropped']}).toMatchSnapshot();
  });

  it('slows work down during a cold start', async () => {
    await start({coldStartMs: 500, coldStartFactor: 1_000});
    const headers = {'x-work-ms': '20', 'fireflysill-deadline-ms': '30'};
    const cold = await send('/a', headers);
    now += 500;
    const warm = await send('/a', headers);
    expect([cold.status, warm.status]).to.deep.equal([504, 200]);
  });

  it('does not start work whose client has disconnected', async () => {
    await start();
    expect(await runWork(0, undefined, AbortSignal.abort())).to.equal('client');
  });
});
