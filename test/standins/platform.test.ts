import {request} from 'undici';
import {CallRateLimiter} from '../../src/standins/platform/rate_limiter.js';
import {
  PlatformPorts,
  PlatformStandin,
} from '../../src/standins/platform/platform_standin.js';
import {MAX_ANSWER_BYTES} from '../../src/standins/platform/publications.js';
import {expect} from '../support/chai_setup.js';

interface JsonResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

async function call(
  port: number,
  path: string,
  body?: unknown,
  method: 'GET' | 'POST' = body === undefined ? 'GET' : 'POST',
): Promise<JsonResponse> {
  const res = await request(`http://127.0.0.1:${port}${path}`, {
    method,
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
  const json = (await res.body.json()) as Record<string, unknown>;
  return {status: res.statusCode, body: json};
}

/** Replaces the times in a response, which differ between runs. */
function withoutTimes(response: JsonResponse): unknown {
  return JSON.parse(
    JSON.stringify(response, (name, value) =>
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
  const callControl = (path: string, body?: unknown) =>
    call(ports.sidePort, path, body);
  const publish = (id: string, patch: unknown = {}) =>
    callControl('/side/submissions', {id, base: 0, patch});

  async function waitForWatches(count: number): Promise<void> {
    while ((await callControl('/side/stats')).body['waiting'] !== count) {
      // Polls until the watches have arrived.
    }
  }

  it('numbers submissions and returns them in order', async () => {
    const first = await publish('a');
    const second = await publish('b', {services: 'malformed'});
    const all = await read('/v1/submissions');
    const rest = await read('/v1/submissions?after=1');
    expect([first, second, all, rest].map(withoutTimes)).toMatchSnapshot();
  });

  it('answers a watch at once if there are updates, else after its wait', async () => {
    await publish('a');
    const updated = await read(`/v1/watch?after=0&vms=0&${LONG_WAIT}`);
    const unchanged = await read('/v1/watch?after=1&vms=0&waitMs=5');
    expect([updated, unchanged].map(withoutTimes)).toMatchSnapshot();
  });

  it('answers waiting watches on a submission and on a VM list', async () => {
    const watch = read(`/v1/watch?after=0&vms=0&${LONG_WAIT}`);
    await waitForWatches(1);
    await publish('a');
    const submission = await watch;
    const second = read(`/v1/watch?after=1&vms=0&${LONG_WAIT}`);
    await waitForWatches(1);
    await callControl('/side/vms', {
      vms: [{upstreamId: 'desk-1', state: 'leaving'}],
    });
    const vms = await second;
    const list = await read('/v1/vms');
    expect([submission, vms, list].map(withoutTimes)).toMatchSnapshot();
    expect(await callControl('/side/stats')).toMatchSnapshot();
  });

  it('splits a long log into responses of at most one megabyte', async () => {
    const patch = {filler: 'x'.repeat(400_000)};
    for (const id of ['a', 'b', 'c', 'd', 'e']) {
      await publish(id, patch);
    }
    const counts: number[] = [];
    let after = 0;
    while (after < 5) {
      const {body} = await read(`/v1/watch?after=${after}&waitMs=0`);
      expect(JSON.stringify(body).length).to.be.at.most(MAX_ANSWER_BYTES);
      const {length} = body['submissions'] as unknown[];
      counts.push(length);
      after += length;
    }
    expect(counts).to.deep.equal([2, 2, 1]);
  });

  it('refuses values above one megabyte and loses nothing', async () => {
    const tooLarge = await publish('a', 'x'.repeat(MAX_ANSWER_BYTES));
    const farTooLarge = await publish('b', 'x'.repeat(5 * MAX_ANSWER_BYTES));
    const next = await publish('c');
    expect([tooLarge, farTooLarge, next]).toMatchSnapshot();
  });

  it('names the faults of invalid input', async () => {
    const answers = [
      await read('/v1/nowhere'),
      await read('/v1/watch'),
      await read('/v1/watch?after=-1&waitMs=soon'),
      await call(ports.port, '/v1/vms', {}, 'POST'),
      await callControl('/side/submissions', '{"id":'),
      await callControl('/side/submissions', {id: '', base: 1.5}),
      await callControl('/side/vms', {
        vms: [{upstreamId: 'desk-1', state: 'gone'}],
      }),
      await callControl('/side/fault', {dwon: true}),
    ];
    expect(answers).toMatchSnapshot();
  });

  it('returns an old state while stale', async () => {
    await publish('a');
    await callControl('/side/fault', {staleAtSequence: 1});
    await publish('b');
    await callControl('/side/vms', {vms: []});
    const stale = await read('/v1/watch?after=0&vms=0&waitMs=0');
    const watch = read(`/v1/watch?after=1&vms=0&${LONG_WAIT}`);
    await waitForWatches(1);
    await callControl('/side/fault', {staleAtSequence: null});
    const recovered = await watch;
    expect([stale, recovered].map(withoutTimes)).toMatchSnapshot();
  });

  it('closes connections while down and keeps submissions', async () => {
    await publish('a');
    const watch = read(`/v1/watch?after=1&vms=0&${LONG_WAIT}`).catch(
      () => 'closed',
    );
    await waitForWatches(1);
    await callControl('/side/fault', {down: true});
    expect(await watch).to.equal('closed');
    const refused = await read('/v1/vms').catch(() => 'closed');
    expect(refused).to.equal('closed');
    await callControl('/side/fault', {down: false});
    const {body} = await read('/v1/submissions');
    expect(body['head']).to.equal(1);
  });

  it('refuses calls over its rate with a typed error', async () => {
    const limited = new PlatformStandin(
      {latencyMs: 0, callsPerSecond: 2},
      () => 0,
    );
    const {port, sidePort} = await limited.start();
    const answers = [
      await call(port, '/v1/vms'),
      await call(port, '/v1/submissions'),
      await call(port, '/v1/vms'),
      await call(sidePort, '/side/stats'),
    ];
    await limited.stop();
    expect(answers).toMatchSnapshot();
  });

  it('admits calls again as time passes', () => {
    let now = 0;
    const meter = new CallRateLimiter(2_000, () => now);
    const countAdmitted = () =>
      Array.from({length: 3_000}, () => meter.tryAcquire('watch')).filter(
        Boolean,
      ).length;
    const admitted = [countAdmitted()];
    now = 500;
    admitted.push(countAdmitted());
    now = 5_000;
    admitted.push(countAdmitted());
    expect(admitted).to.deep.equal([2_000, 1_000, 2_000]);
  });
});
