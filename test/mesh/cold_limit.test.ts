/** The limit for cold upstreams, on decision cores without a network. */
import {getOrCreateLoad} from '../../src/core/entry/load_view.js';
import {markZoneTakenBack} from '../../src/core/mesh/cold_detection.js';
import {
  COLD_WINDOW_MS,
  createColdLimit,
  getColdDelayMs,
  recordDispatch,
} from '../../src/core/mesh/cold_limit.js';
import {MeshSettings} from '../../src/core/mesh/mesh_settings.js';
import {MeshEffect} from '../../src/core/mesh/mesh_types.js';
import {Instance, MeshConfig} from '../../src/model/mesh.js';
import {createStatus} from '../../src/mesh/operator_handlers.js';
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  SELF,
  createAttempt,
  createConfig,
  createHello,
  createInstance,
} from './mesh_fixture.js';

/** 4.41 x 1.5 + 8 = 14.6, as in a deployment. */
const COLD_PER_SECOND = 4.41;
const COLD_LIMIT = {excess: 1.5, slack: 8};
const BOUND = 14;

/** So many that only the limit holds requests back. */
const SLOTS = 64;
const RUN_MS = 50;

/** Requests take between 0 and this long from the owner to the upstream. */
const MAX_TRANSIT_MS = 180;

const ENTRY_COUNTS = [30, 80, 195];

/** Start of the owner's process, in Unix milliseconds; later than the upstream's. */
const OWNER_STARTED_AT = 1_700_000_000_000;

const COLD_SETTINGS: Partial<MeshSettings> = {
  coldLimit: COLD_LIMIT,
  startedAt: OWNER_STARTED_AT,
};

function createColdConfig(coldPerSecond = COLD_PER_SECOND): MeshConfig {
  const services = [
    {name: 'desk', connections: 120, coldStartMs: 3_000, coldPerSecond},
  ];
  return {...createConfig(), services};
}

function createOwn(overrides: Partial<Instance> = {}): Instance {
  return createInstance(1, {slots: SLOTS, ...overrides});
}

/** An upstream, its owner, and entries that all ask again as soon as they may. */
class Burst {
  owner: MeshFixture;
  /** When requests arrived at the upstream. */
  readonly arrivals: number[] = [];
  private readonly freeEntries: number[];
  private readonly runs: {attemptId: string; entry: number; endAt: number}[] =
    [];
  private sent = 0;
  private revision = 10;

  constructor(
    entries: number,
    private readonly config = createColdConfig(),
    own = createOwn(),
    settings = COLD_SETTINGS,
  ) {
    this.freeEntries = Array.from({length: entries}, (_, n) => n);
    this.owner = new MeshFixture(settings);
    this.owner.loadFromSource([own, createInstance(2)], config);
  }

  /** Replaces the owner's process by one that has read nothing yet. */
  restartOwner(bootMs = 0): void {
    const {at} = this.owner;
    this.owner = new MeshFixture(COLD_SETTINGS);
    this.owner.at = at + 20;
    this.owner.post({kind: 'started', bootMs});
    // Their links break, so all entries may ask again.
    this.freeEntries.push(...this.runs.splice(0).map(({entry}) => entry));
  }

  /** Delivers a read of the list and of the configuration. */
  read(...own: readonly Instance[]): void {
    this.revision += 1;
    const instances = [...own, createInstance(2)];
    this.owner.loadFromSource(instances, this.config, this.revision);
  }

  run(ms: number): void {
    const endAt = this.owner.at + ms;
    while (this.owner.at < endAt) {
      this.handle(this.owner.advance(25));
      const ended = this.runs.filter(run => run.endAt <= this.owner.at);
      for (const run of ended) {
        this.runs.splice(this.runs.indexOf(run), 1);
        this.freeEntries.push(run.entry);
        this.handle(answer(this.owner, run.attemptId));
      }
      for (const entry of this.freeEntries.splice(0)) {
        this.sent += 1;
        const attemptId = `${this.sent}/${entry}`;
        const attempt = createAttempt({attemptId, instanceId: 'i-1'});
        this.handle(this.owner.post({kind: 'attemptArrived', attempt}));
      }
    }
  }

  private handle(effects: readonly MeshEffect[]): void {
    const {at} = this.owner;
    for (const effect of effects) {
      if (effect.kind === 'dispatch') {
        const {attemptId} = effect;
        const entry = Number(attemptId.split('/')[1]);
        this.runs.push({attemptId, entry, endAt: at + RUN_MS});
        // Those of one window travel long, and those of the next one do not.
        const isLate = Math.floor(this.arrivals.length / BOUND) % 2 === 0;
        this.arrivals.push(at + (isLate ? MAX_TRANSIT_MS : 0));
      } else if (effect.kind === 'finishAttempt') {
        const {attemptId, outcome} = effect;
        if (outcome.result.kind === 'refusal') {
          this.freeEntries.push(Number(attemptId.split('/')[1]));
        }
      }
    }
  }

  /** Counts the arrivals of the fullest second since a time. */
  countFullestSecond(since = 0): number {
    const times = this.arrivals
      .filter(time => time >= since)
      .sort((a, b) => a - b);
    let most = 0;
    let first = 0;
    times.forEach((time, n) => {
      while (times[first] <= time - 1_000) {
        first += 1;
      }
      most = Math.max(most, n + 1 - first);
    });
    return most;
  }
}

function answer(owner: MeshFixture, attemptId: string): readonly MeshEffect[] {
  const body = new Uint8Array(0);
  return owner.post({
    kind: 'upstreamAnswered',
    attemptId,
    answer: {kind: 'answer', status: 200, headers: {}, body},
    facts: {notRun: false, otherInstance: false},
  });
}

/** Expects the limit to be kept and used up in 2.8 of the 3 s of a cold start. */
function expectLimited(burst: Burst): void {
  const since = burst.owner.at;
  burst.run(2_800);
  expect(burst.countFullestSecond(since)).to.equal(BOUND);
}

for (const entries of ENTRY_COUNTS) {
  describe(`a cold upstream and a burst from ${entries} entries`, () => {
    it('is kept to the limit after a restart of all proxies and upstreams', () => {
      const burst = new Burst(entries);
      burst.restartOwner();
      // Attempts arrive before the owner has read anything.
      burst.run(1_100);
      // The source still lists the upstream's earlier process, which was warm.
      burst.read(createOwn());
      burst.run(1_800);
      expect(burst.countFullestSecond()).to.equal(BOUND);
    });

    it('is kept to the limit across a restart of its owner alone', () => {
      const own = createOwn({coldMs: 5_000});
      const burst = new Burst(entries, createColdConfig(), own);
      burst.run(500);
      burst.restartOwner();
      burst.read(createOwn({coldMs: 4_000}));
      burst.run(2_000);
      expect(burst.countFullestSecond()).to.equal(BOUND);
    });

    it('is kept to the limit after its zone was taken back', () => {
      const burst = new Burst(entries);
      markZoneTakenBack(burst.owner.state, 'north', burst.owner.at);
      expectLimited(burst);
    });

    it('is kept to the limit after it was replaced', () => {
      const burst = new Burst(entries);
      burst.owner.advance(2_000);
      burst.read(createOwn({incarnation: 2}));
      expectLimited(burst);
    });

    it('is kept to the limit on a new VM, while the rest of its service is not', () => {
      const replaced = new Burst(entries);
      const others = [new Burst(entries), new Burst(entries)];
      replaced.restartOwner();
      replaced.read();
      // The upstream starts long after its proxy, which no longer counts it as cold.
      replaced.owner.advance(4_000);
      replaced.read(createOwn());
      expectLimited(replaced);
      for (const other of others) {
        other.run(200);
        expect(other.countFullestSecond()).to.be.above(4 * BOUND);
      }
    });

    it('is kept to the limit after it refused connections', () => {
      const burst = new Burst(entries);
      burst.owner.post({kind: 'connectProbed', accepted: false});
      burst.owner.post({kind: 'connectProbed', accepted: true});
      expectLimited(burst);
    });

    it('is kept to the limit when its registration turns cold, counting what it just got', () => {
      const burst = new Burst(entries);
      burst.run(500);
      const coldAt = burst.owner.at;
      burst.read(createOwn({heartbeat: 2, coldMs: 2_500}));
      burst.run(900);
      // It has had more than the limit in the second before.
      expect(burst.arrivals.at(-1)).to.be.at.most(coldAt + MAX_TRANSIT_MS);
      expectLimited(burst);
    });
  });
}

describe('the limit for a cold upstream', () => {
  // Guards against a restart that is over before the owner tries to connect, such as
  // one beside a process that stood still: no connection attempt is refused.
  for (const {resets, cause} of [
    {resets: 3, cause: 'accepts_again'},
    {resets: 1, cause: undefined},
  ]) {
    const begins = cause === undefined ? 'does not begin' : 'begins';
    it(`${begins} after ${resets} of 3 runs were reset at once`, () => {
      const {owner} = new Burst(0);
      const ids = ['a', 'b', 'c'];
      for (const attemptId of ids) {
        const attempt = createAttempt({attemptId, instanceId: 'i-1'});
        owner.post({kind: 'attemptArrived', attempt});
      }
      owner.advance(25);
      for (const attemptId of ids.slice(0, resets)) {
        owner.post({kind: 'upstreamFailed', attemptId, failure: 'reset'});
      }
      owner.post({kind: 'connectProbed', accepted: true});
      expect(owner.state.work.cold.bound?.cause).to.equal(cause);
    });
  }

  it('does not hold for a warm upstream, another zone, or without a setting', () => {
    const counts = [
      new Burst(30),
      new Burst(30, createColdConfig(0), createOwn({coldMs: 3_000})),
      new Burst(30, createColdConfig(), createOwn({coldMs: 3_000}), {}),
    ].map(burst => {
      markZoneTakenBack(burst.owner.state, 'south', burst.owner.at);
      burst.run(1_000);
      return burst.countFullestSecond() > 10 * BOUND;
    });
    expect(counts).to.deep.equal([true, true, true]);
  });

  it('ends after a lone restart with a registration that was written later', () => {
    const burst = new Burst(30);
    burst.restartOwner();
    burst.read(createOwn({heartbeat: 7}));
    burst.run(600);
    // The same report again proves nothing: its process may have ended.
    burst.read(createOwn({heartbeat: 7}));
    burst.run(100);
    expect(burst.arrivals).to.deep.equal([]);
    burst.read(createOwn({heartbeat: 8}));
    burst.run(500);
    expect(burst.countFullestSecond()).to.be.above(10 * BOUND);
  });

  it('counts the time that the start of the owner took', () => {
    const own = createOwn({coldMs: 5_000});
    const burst = new Burst(30, createColdConfig(), own);
    burst.run(500);
    burst.restartOwner(1_000);
    burst.read(createOwn({coldMs: 4_000}));
    burst.run(250);
    // Without it, the window would be held for a second longer.
    expect(burst.arrivals.length).to.equal(2 * BOUND);
  });

  it('holds nothing back for an earlier owner from an upstream that is newer', () => {
    const burst = new Burst(30);
    burst.restartOwner();
    burst.read(createOwn({incarnation: OWNER_STARTED_AT, coldMs: 3_000}));
    burst.run(200);
    expect(burst.arrivals.length).to.equal(BOUND);
    burst.run(2_000);
    expect(burst.countFullestSecond()).to.equal(BOUND);
  });

  it('does not end with a report that a read under way may show late', () => {
    const burst = new Burst(30);
    markZoneTakenBack(burst.owner.state, 'north', burst.owner.at);
    burst.read(createOwn({heartbeat: 7}));
    burst.read(createOwn({heartbeat: 8}));
    expectLimited(burst);
  });

  it('ends by itself while the source is down', () => {
    const burst = new Burst(30);
    burst.restartOwner();
    burst.read(createOwn());
    burst.run(3_000);
    const since = burst.owner.at;
    burst.run(1_000);
    expect(burst.countFullestSecond(since)).to.be.above(10 * BOUND);
  });

  it('refuses at once what cannot start in time, and says when it can', () => {
    const owner = new MeshFixture(COLD_SETTINGS);
    owner.loadFromSource([createOwn({coldMs: 3_000})], createColdConfig());
    const finished = Array.from({length: BOUND + 1}, (_, n) =>
      owner.post({
        kind: 'attemptArrived',
        attempt: createAttempt({attemptId: `a-${n}`}),
      }),
    ).flatMap(effects =>
      effects.flatMap(effect =>
        effect.kind === 'finishAttempt' ? [effect] : [],
      ),
    );
    expect(finished.map(({attemptId}) => attemptId)).to.deep.equal([
      `a-${BOUND}`,
    ]);
    const {result, load} = finished[0].outcome;
    expect(result).to.deep.include({
      reason: 'rate_limited',
      outcome: 'not-run',
      retryAfterMs: COLD_WINDOW_MS,
    });
    expect(load).to.deep.include({
      coldPerSecond: 11.67,
      coldDelayMs: COLD_WINDOW_MS,
    });
  });

  it('is logged when it begins and ends, and shown in the status', () => {
    const owner = new MeshFixture(COLD_SETTINGS);
    const own = createOwn({coldMs: 3_000});
    owner.loadFromSource([own], createColdConfig());
    const effects = [...owner.advance(25)];
    const status = createStatus(owner.state, owner.at);
    effects.push(...owner.advance(5_000));
    const logs = effects.flatMap(effect =>
      effect.kind === 'log' && effect.part === 'owner'
        ? [{message: effect.message, fields: effect.fields}]
        : [],
    );
    expect(status).to.deep.include({
      coldLimit: {cause: 'registered', allowance: BOUND, untilWarmMs: 4_475},
      coldUpstreams: [{id: 'i-1', untilWarmMs: 2_975}],
    });
    expect(logs).toMatchSnapshot();
  });
});

describe('the window of a cold upstream', () => {
  it('predicts starts that keep to it, for any number of requests ahead', () => {
    const limit = createColdLimit();
    limit.bound = {cause: 'registered', allowance: 2, until: 1e6};
    recordDispatch(limit, 0);
    recordDispatch(limit, 300);
    recordDispatch(limit, 400);
    const delays = [0, 1, 2, 3, 4].map(n => getColdDelayMs(limit, n, 500));
    expect(delays).to.deep.equal([1_000, 1_100, 2_200, 2_300, 3_400]);
    limit.heldUntil = 2_000;
    const held = [0, 1, 2].map(n => getColdDelayMs(limit, n, 1_900));
    expect(held).to.deep.equal([100, 100, 1_300]);
  });
});

describe('an upstream that turns cold', () => {
  const cold = createInstance(3, {heartbeat: 9, coldMs: 2_500});

  it('is a change that is sent to peers, once for each cold period', () => {
    const reader = new MeshFixture(COLD_SETTINGS);
    const others = [createOwn(), createInstance(2)];
    reader.loadFromSource([...others, createInstance(3)], createColdConfig());
    const from = '10.0.0.2:7000';
    reader.post({kind: 'messageReceived', from, message: createHello()});
    const listChanged = (instance: Instance, revision: number) =>
      reader
        .readFleet([...others, instance], revision)
        .flatMap(effect =>
          effect.kind === 'sendMessage' && effect.message.kind === 'news'
            ? effect.message.fleet.changed
            : [],
        );
    expect(listChanged(cold, 11)).to.deep.include(cold);
    const later = {...cold, heartbeat: 10, coldMs: 1_000};
    expect(listChanged(later, 12)).to.deep.equal([]);
    // Peers were not told that it is warm again, and need not be.
    const warm = {...cold, heartbeat: 11, coldMs: 0};
    expect(listChanged(warm, 13)).to.deep.equal([]);
    const again = {...cold, heartbeat: 20};
    expect(listChanged(again, 14)).to.deep.include(again);
  });

  it('gets less from entries, however fast it was', () => {
    const counts = new Map<string, number>();
    const entry = new MeshFixture({
      ...COLD_SETTINGS,
      upstreamAddress: `${SELF}:9999`,
    });
    const warm = createInstance(2, {slots: SLOTS});
    entry.loadFromSource([warm, {...cold, slots: SLOTS}], createColdConfig());
    for (const id of ['i-2', 'i-3']) {
      getOrCreateLoad(entry.state.loads, id).report = {
        running: 0,
        queued: 0,
        slots: SLOTS,
        leaving: false,
        slowness: id === 'i-3' ? 0.8 : 1,
      };
    }
    for (let n = 0; n < 40; n += 1) {
      for (const effect of entry.call(`c-${n}`)) {
        if (effect.kind === 'sendAttempt') {
          const {instanceId} = effect.attempt;
          counts.set(instanceId, (counts.get(instanceId) ?? 0) + 1);
          expect(effect.attempt.limitPerSecond).to.equal(undefined);
        }
      }
      entry.answer(`c-${n}.1`);
    }
    expect(counts.get('i-2')).to.be.above(35);
  });

  it('is chosen last by entries whose report says that it has to wait', () => {
    const entry = new MeshFixture({
      ...COLD_SETTINGS,
      upstreamAddress: `${SELF}:9999`,
    });
    entry.loadFromSource(
      [createInstance(2), createInstance(3)],
      createColdConfig(),
    );
    const load = getOrCreateLoad(entry.state.loads, 'i-2');
    load.reportedAt = entry.at;
    load.report = {
      running: 0,
      queued: 0,
      slots: 2,
      leaving: false,
      coldPerSecond: 11.67,
      coldDelayMs: 1_100,
    };
    const sent = entry
      .call('a')
      .flatMap(effect => (effect.kind === 'sendAttempt' ? [effect] : []));
    expect(sent.map(({attempt}) => attempt.instanceId)).to.deep.equal(['i-3']);
    entry.refuse('a.1', 'rate_limited');
    entry.drainEffects();
    // It is not told to owners, which count for themselves.
    expect(sent[0].attempt).not.to.have.property('limitPerSecond');
  });
});
