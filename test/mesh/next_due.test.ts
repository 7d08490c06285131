/** Ticks come when something is due, and seldom otherwise. */
import {
  LONG_TICK_MS,
  SHORT_TICK_MS,
  getNextDueAt,
} from '../../src/core/mesh/next_due.js';
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  NO_BYTES,
  createAttempt,
  createInstance,
  createRemoteEntry,
  describeEffects,
} from './mesh_fixture.js';

/** Delivers ticks when they are due; returns their times and their effects. */
function runTicks(proxy: MeshFixture, ms: number): Array<[number, string[]]> {
  const startedAt = proxy.at;
  const ticks: Array<[number, string[]]> = [];
  for (;;) {
    const dueAt = getNextDueAt(proxy.state, proxy.at);
    if (dueAt > startedAt + ms) {
      proxy.at = startedAt + ms;
      return ticks;
    }
    proxy.at = dueAt;
    const effects = proxy.post({kind: 'tick', linkBytes: NO_BYTES});
    ticks.push([dueAt - startedAt, describeEffects(effects)]);
  }
}

/** Creates an entry that has announced its version, so that only calls are due. */
function createEntry(): MeshFixture {
  const entry = createRemoteEntry();
  runTicks(entry, 1_000);
  return entry;
}

function getDelay(proxy: MeshFixture): number {
  return getNextDueAt(proxy.state, proxy.at) - proxy.at;
}

/** Ends a call after some time, from which hedging learns the usual one. */
function answerAfter(entry: MeshFixture, callId: string, ms: number): void {
  entry.call(callId);
  entry.at += ms;
  entry.answer(`${callId}.1`);
}

describe('next due time', () => {
  it('is the long interval while nothing is in progress', () => {
    expect(getDelay(createRemoteEntry())).to.equal(LONG_TICK_MS);
  });

  it('is the short interval until the proxy is ready', () => {
    expect(getDelay(new MeshFixture())).to.equal(SHORT_TICK_MS);
  });

  it('is the short interval while attempts wait for a slot', () => {
    const owner = new MeshFixture();
    owner.loadFromSource([createInstance(1, {slots: 1})]);
    const arrive = (attemptId: string) =>
      owner.post({
        kind: 'attemptArrived',
        attempt: createAttempt({attemptId}),
      });
    arrive('runs');
    expect(getDelay(owner)).to.equal(LONG_TICK_MS);
    arrive('waits');
    expect(owner.state.work.queue).to.have.length(1);
    expect(getDelay(owner)).to.equal(SHORT_TICK_MS);
  });

  // Guards against deadlines that are later than with ticks at a fixed interval.
  it('ends a call at its deadline', () => {
    const entry = createEntry();
    entry.call('a', '/charge/1', 333);
    const ticks = runTicks(entry, 400);
    const ended = ticks.filter(([, effects]) =>
      effects.some(effect => effect.startsWith('answerCall')),
    );
    expect(ended.map(([at]) => at)).to.deep.equal([333]);
    expect(ticks.length).to.be.at.most(4);
  });

  // Guards against hedges that are later than with ticks at a fixed interval.
  it('hedges a call when it is due', () => {
    const entry = createEntry();
    answerAfter(entry, 'a', 50);
    entry.call('b');
    const ticks = runTicks(entry, 115);
    expect(ticks).to.have.length(1);
    const [[hedgedAt, effects]] = ticks;
    expect(hedgedAt).to.be.closeTo(110, 0.001);
    expect(effects).to.have.length(1);
    expect(effects[0]).to.match(/^sendAttempt b\.2 /);
  });

  // Guards against ticks at a short interval while calls are in progress: with 40 ms
  // these five seconds had 125.
  it('comes seldom while calls are answered in time', () => {
    const entry = createEntry();
    let ticks = 0;
    for (let n = 0; n < 25; n += 1) {
      entry.call(`c-${n}`);
      ticks += runTicks(entry, 150).length;
      entry.answer(`c-${n}.1`);
      ticks += runTicks(entry, 50).length;
    }
    expect(ticks).to.be.at.most(45);
  });

  // Guards against a timer that fires without a pause.
  it('repeats at the short interval what was due and not done', () => {
    const entry = createEntry();
    answerAfter(entry, 'a', 50);
    entry.state.retries.clear();
    entry.state.settings = {...entry.state.settings, retryExtra: 0};
    entry.call('b');
    const times = runTicks(entry, 250).map(([at]) => Math.round(at));
    expect(times).to.deep.equal([110, 150, 190, 230]);
  });

  it('is no later than the end of a pause between reads', () => {
    const entry = createRemoteEntry();
    entry.state.sourceReads.configNotBefore = entry.at + 77;
    expect(getDelay(entry)).to.equal(77);
  });

  it('is the announcement of a new version', () => {
    const entry = createRemoteEntry();
    entry.state.configFreshness.announceAt = entry.at + 55;
    expect(getDelay(entry)).to.equal(55);
  });

  it('is the next probe of an upstream that is down', () => {
    const owner = new MeshFixture();
    owner.loadFromSource([createInstance(1)]);
    owner.state.health.down = true;
    owner.state.health.probedAt = owner.at - 200;
    expect(getDelay(owner)).to.equal(50);
  });
});
