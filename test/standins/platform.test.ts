import {request} from 'undici';
import {CallRateLimiter} from '../../src/standins/platform/rate_limiter.js';
import {
  PlatformPorts,
  PlatformStandin,
} from '../../src/standins/platform/platform_standin.js';
import {MAX_ANSWER_BYTES} from '../../src/standins/platform/publications.js';
import {expect} from '../support/chai_setup.js';

interface Answered {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

async function call(
  port: number,
  path: string,
  body?: unknown,
  method: 'GET' | 'POST' = body === undefined ? 'GET' : 'POST',
): Promise<Answered> {
  const res = await request(`http://127.0.0.1:${port}${path}`, {
    method,
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
  const json = (await res.body.json()) as Record<string, unknown>;
  return {status: res.statusCode, body: json};
}

/** Makes an answer the same in each run. */
function withoutTimes(answered: Answered): unknown {
  return JSON.parse(
    JSON.stringify(answered, (name, value) =>
      name === 'publishedAt' ? 'TIME' : value,
    ),
  );
}

const LONG_WAIT = 'waitMs=60000';

describe('platform stand-in', () => {
  let standin: PlatformStandin;
  let ports: PlatformPorts;

  beforeEach(async () => {
    standin = new PlatformStandin({latencyMs: 0});
    ports = await standin.start();
  });

  afterEach(() => standin.stop());

  const read = (path: string) => call(ports.port, path);
  const side = (path: string, body?: unknown) =>
    call(ports.sidePort, path, body);
  const publish = (id: string, patch: unknown = {}) =>
    side('/side/submissions', {id, base: 0, patch});

  async function untilWaiting(count: number): Promise<void> {
    while ((await side('/side/stats')).body['waiting'] !== count) {
      // Ask again until the watches have arrived.
    }
  }

  it('numbers submissions and shows them in order', async () => {
    const first = await publish('a');
    const second = await publish('b', {services: 'malformed'});
    const all = await read('/v1/submissions');
    const rest = await read('/v1/submissions?after=1');
    expect([first, second, all, rest].map(withoutTimes)).toMatchSnapshot();
  });

  it('answers a watch at once with news and after its wait without', async () => {
    await publish('a');
    const news = await read(`/v1/watch?after=0&vms=0&${LONG_WAIT}`);
    const none = await read('/v1/watch?after=1&vms=0&waitMs=5');
    expect([news, none].map(withoutTimes)).toMatchSnapshot();
  });

  it('wakes waiting watches for a submission and for a VM list', async () => {
    const watch = read(`/v1/watch?after=0&vms=0&${LONG_WAIT}`);
    await untilWaiting(1);
    await publish('a');
    const submission = await watch;
    const second = read(`/v1/watch?after=1&vms=0&${LONG_WAIT}`);
    await untilWaiting(1);
    await side('/side/vms', {vms: [{upstreamId: 'desk-1', state: 'leaving'}]});
    const vms = await second;
    const list = await read('/v1/vms');
    expect([submission, vms, list].map(withoutTimes)).toMatchSnapshot();
    expect(await side('/side/stats')).toMatchSnapshot();
  });

  it('sends a long log in pieces of at most one megabyte', async () => {
    const patch = {filler: 'x'.repeat(400_000)};
    for (const id of ['a', 'b', 'c', 'd', 'e']) {
      await publish(id, patch);
    }
    const pieces: number[] = [];
    let after = 0;
    while (after < 5) {
      const {body} = await read(`/v1/watch?after=${after}&waitMs=0`);
      expect(JSON.stringify(body).length).to.be.at.most(MAX_ANSWER_BYTES);
      const {length} = body['submissions'] as unknown[];
      pieces.push(length);
      after += length;
    }
    expect(pieces).to.deep.equal([2, 2, 1]);
  });

  it('refuses values above one megabyte and loses nothing', async () => {
    const tooLarge = await publish('a', 'x'.repeat(MAX_ANSWER_BYTES));
    const farTooLarge = await publish('b', 'x'.repeat(5 * MAX_ANSWER_BYTES));
    const next = await publish('c');
    expect([tooLarge, farTooLarge, next]).toMatchSnapshot();
  });

  it('names what is wrong with bad input', async () => {
    const answers = [
      await read('/v1/nowhere'),
      await read('/v1/watch'),
      await read('/v1/watch?after=-1&waitMs=soon'),
      await call(ports.port, '/v1/vms', {}, 'POST'),
      await side('/side/submissions', '{"id":'),
      await side('/side/submissions', {id: '', base: 1.5}),
      await side('/side/vms', {vms: [{upstreamId: 'desk-1', state: 'gone'}]}),
      await side('/side/fault', {dwon: true}),
    ];
    expect(answers).toMatchSnapshot();
  });

  it('shows an old state while stale', async () => {
    await publish('a');
    await side('/side/fault', {staleAtSequence: 1});
    await publish('b');
    await side('/side/vms', {vms: []});
    const stale = await read('/v1/watch?after=0&vms=0&waitMs=0');
    const watch = read(`/v1/watch?after=1&vms=0&${LONG_WAIT}`);
    await untilWaiting(1);
    await side('/side/fault', {staleAtSequence: null});
    const healed = await watch;
    expect([stale, healed].map(withoutTimes)).toMatchSnapshot();
  });

  it('cuts connections while down and keeps what was published', async () => {
    await publish('a');
    const watch = read(`/v1/watch?after=1&vms=0&${LONG_WAIT}`).catch(
      () => 'cut',
    );
    await untilWaiting(1);
    await side('/side/fault', {down: true});
    expect(await watch).to.equal('cut');
    const refused = await read('/v1/vms').catch(() => 'cut');
    expect(refused).to.equal('cut');
    await side('/side/fault', {down: false});
    const {body} = await read('/v1/submissions');
    expect(body['head']).to.equal(1);
  });

  it('refuses calls over its rate with a typed error', async () => {
    const small = new PlatformStandin(
      {latencyMs: 0, callsPerSecond: 2},
      () => 0,
    );
    const {port, sidePort} = await small.start();
    const answers = [
      await call(port, '/v1/vms'),
      await call(port, '/v1/submissions'),
      await call(port, '/v1/vms'),
      await call(sidePort, '/side/stats'),
    ];
    await small.stop();
    expect(answers).toMatchSnapshot();
  });

  it('lets calls pass again as time goes by', () => {
    let now = 0;
    const meter = new CallRateLimiter(2_000, () => now);
    const countPassing = () =>
      Array.from({length: 3_000}, () => meter.tryAcquire('watch')).filter(
        Boolean,
      ).length;
    const passed = [countPassing()];
    now = 500;
    passed.push(countPassing());
    now = 5_000;
    passed.push(countPassing());
    expect(passed).to.deep.equal([2_000, 1_000, 2_000]);
  });
});
