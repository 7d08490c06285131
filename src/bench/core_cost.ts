/**
 * What the decision core costs as the fleet grows, without sockets: processor
 * time of control and of calls, sizes of messages, memory of the state.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {FoldStateSchema} from '../model/fold_state.js';
import {Attempt, PeerRequestSchema} from '../model/peer.js';
import {CoreDriver, createLargePatch} from './core_driver.js';
import {WIDE_SERVICE} from './proxies.js';
import {getSpread, Spread} from './stats.js';

const US_PER_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
const TICK_MS = 25;
const TICKS_PER_SECOND = 1_000 / TICK_MS;
const CALLS = 200;
const CHANGES = 5;

/** Enough that what else the collector frees does not show. */
const KEY_RECORDS = 20_000;
const MAX_KEY_ATTEMPTS = 400_000;

export interface CoreCostPlan {
  readonly sizes: readonly number[];
  readonly repetitions: number;
}

/** Costs of one proxy in a fleet of one size. */
export interface CoreCost {
  readonly size: number;
  /** One second of ticks with one gossip exchange each way. */
  readonly idleUsPerSecond: Spread;
  /** One change: fold, table, push, announcement, adoption. */
  readonly changeUs: Spread;
  /** One call as entry and one as owner, without I/O. */
  readonly entryCallUs: Spread;
  readonly ownerCallUs: Spread;
  /** Checking a gossip message on arrival. */
  readonly gossipParseUs: Spread;
  /** Parsing and checking a whole state, as a starting proxy does. */
  readonly stateParseUs: Spread;
  readonly stateBytes: number;
  readonly gossipBytes: number;
  readonly changeBytes: number;
  readonly messagesPerChange: number;
  /** Growth of the heap by the state of one more core. */
  readonly heapMb: number;
  /**
   * Growth by one remembered idempotency key, without its answer; measured at
   * the first size only, as it does not depend on the fleet.
   */
  readonly keyRecordBytes?: number;
}

function timeUs(action: () => void): number {
  const begin = performance.now();
  action();
  return (performance.now() - begin) * US_PER_MS;
}

/** Runs one second of control traffic; returns its processor time. */
function runIdleSecond(driver: CoreDriver, second: number): number {
  const request = createGossip(driver, second);
  return timeUs(() => {
    for (let tick = 0; tick < TICKS_PER_SECOND; tick += 1) {
      driver.advance(TICK_MS);
      driver.post({kind: 'tick'});
    }
    driver.post({kind: 'peerAsked', requestId: `${second}`, request});
  });
}

function createGossip(driver: CoreDriver, heartbeat: number) {
  const describe = (index: number) =>
    driver.describeMember(heartbeat + index, heartbeat);
  return {
    kind: 'gossip',
    from: describe(1),
    members: [describe(2), describe(3), describe(4), describe(5)],
    suspects: [],
    vmRevision: 0,
  } as const;
}

function createChange(index: number) {
  const {routes} = createLargePatch(1);
  const [route] = Object.values(routes ?? {});
  const pathPrefix = `/changed/${index}`;
  return {routes: {[`changed-${index}`]: {...route!, pathPrefix}}};
}

/** Removes and adds an upstream in turns, as a replaced VM does. */
function createReplacement(driver: CoreDriver, index: number) {
  const {upstreams = {}} = createLargePatch(driver.size);
  const id = `vm-${driver.size - 1}`;
  const peerAddress = `10.9.0.${index + 1}:8002`;
  return {upstreams: {[id]: {...upstreams[id]!, peerAddress}}};
}

const ANSWER = {
  kind: 'answer',
  status: 200,
  headers: {},
  body: new Uint8Array(64),
} as const;

function runEntryCalls(driver: CoreDriver, round: number): number {
  // The last service is the last route, so the whole list is searched.
  const service = `service-${driver.proxy.log.table.services.size - 1}`;
  const call = {
    method: 'GET',
    path: `/${service}/x`,
    host: 'h',
    fingerprint: 'f',
    isRetriedByOuterCall: false,
  };
  const us = timeUs(() => {
    for (let index = 0; index < CALLS; index += 1) {
      const callId = `${round}-${index}`;
      const [effect] = driver.reduce({kind: 'callArrived', callId, call});
      if (effect?.kind !== 'sendAttempt') {
        throw new Error(`A call gave ${effect?.kind}.`);
      }
      const {attemptId} = effect.attempt;
      driver.reduce({kind: 'attemptAnswered', attemptId, result: ANSWER});
    }
  });
  return us / CALLS;
}

function createAttempt(driver: CoreDriver, attemptId: string): Attempt {
  return {
    attemptId,
    service: 'service-0',
    upstreamId: 'vm-0',
    version: driver.proxy.log.active.version,
    idempotent: true,
    privateKey: false,
    timeoutMs: 1_000,
    fingerprint: attemptId,
    suspect: false,
    priority: 'interactive',
  };
}

function runOwnerCalls(driver: CoreDriver, round: number): number {
  const us = timeUs(() => {
    for (let index = 0; index < CALLS; index += 1) {
      const attemptId = `o-${round}-${index}`;
      const attempt = createAttempt(driver, attemptId);
      driver.reduce({kind: 'attemptArrived', attempt});
      driver.reduce({kind: 'upstreamAnswered', attemptId, answer: ANSWER});
    }
  });
  return us / CALLS;
}

function collectGarbage(): void {
  setFlagsFromString('--expose_gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
}

function measureHeap(size: number): {driver: CoreDriver; heapMb: number} {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const driver = new CoreDriver(size);
  // A core that has heard of every member holds its largest view.
  for (let index = 0; index < size; index += 1) {
    const request = createGossip(driver, index);
    driver.post({kind: 'peerAsked', requestId: `${index}`, request});
  }
  collectGarbage();
  const heapMb = (process.memoryUsage().heapUsed - before) / BYTES_PER_MB;
  return {driver, heapMb};
}

class CostSamples {
  private readonly samples = new Map<string, number[]>();

  add(name: string, value: number): void {
    const values = this.samples.get(name) ?? [];
    values.push(value);
    this.samples.set(name, values);
  }

  getSpread(name: string): Spread {
    return getSpread(this.samples.get(name) ?? []);
  }
}

interface Subject {
  readonly driver: CoreDriver;
  readonly heapMb: number;
  readonly samples: CostSamples;
}

function measureRound({driver, samples}: Subject, round: number): void {
  samples.add('idle', runIdleSecond(driver, round + 1));
  for (let index = 0; index < CHANGES; index += 1) {
    const number = round * CHANGES + index;
    // Once the sequence moves, peers must not seem to be ahead or behind.
    const patch =
      index % 2 === 0
        ? createChange(number)
        : createReplacement(driver, number);
    samples.add(
      'change',
      timeUs(() => driver.publish(patch)),
    );
  }
  samples.add('entry', runEntryCalls(driver, round));
  samples.add('owner', runOwnerCalls(driver, round));
  const gossip = JSON.stringify(createGossip(driver, round));
  samples.add(
    'gossip',
    timeUs(() => PeerRequestSchema.parse(JSON.parse(gossip))),
  );
  const text = JSON.stringify(driver.proxy.log.latest);
  samples.add(
    'state',
    timeUs(() => FoldStateSchema.parse(JSON.parse(text))),
  );
}

/** Runs keyed attempts until enough of them belong to this home. */
function measureKeyRecordBytes(size: number): number {
  const driver = new CoreDriver(size);
  // A home that started lately must doubt keys, and so would not run them.
  driver.advance(3 * WIDE_SERVICE.keyLifetimeMs);
  const {keys} = driver.proxy.owner;
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < MAX_KEY_ATTEMPTS; index += 1) {
    const attemptId = `k-${index}`;
    const key = `key-${index}-0123456789abcdef01234567`;
    const attempt = {
      ...createAttempt(driver, attemptId),
      idempotent: false,
      key,
    };
    driver.reduce({kind: 'attemptArrived', attempt});
    driver.reduce({kind: 'upstreamAnswered', attemptId, answer: ANSWER});
    if (keys.size >= KEY_RECORDS) {
      break;
    }
  }
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  return (after - before) / keys.size;
}

function createCost({driver, heapMb, samples}: Subject): CoreCost {
  return {
    size: driver.size,
    idleUsPerSecond: samples.getSpread('idle'),
    changeUs: samples.getSpread('change'),
    entryCallUs: samples.getSpread('entry'),
    ownerCallUs: samples.getSpread('owner'),
    gossipParseUs: samples.getSpread('gossip'),
    stateParseUs: samples.getSpread('state'),
    stateBytes: JSON.stringify(driver.proxy.log.latest).length,
    gossipBytes: JSON.stringify(createGossip(driver, 1)).length,
    changeBytes: JSON.stringify(createChange(1)).length,
    messagesPerChange: driver.publish(createChange(999_999)),
    heapMb,
  };
}

/**
 * Measures all sizes in turns, so that they share the machine's noise.
 * @param plan - Sizes and repetitions.
 * @returns One cost for each size.
 */
export function measureCoreCost(plan: CoreCostPlan): CoreCost[] {
  // Loads and compiles what the first measured core must not pay for.
  measureHeap(plan.sizes[0]);
  const subjects = plan.sizes.map(size => ({
    ...measureHeap(size),
    samples: new CostSamples(),
  }));
  for (let round = 0; round < plan.repetitions; round += 1) {
    for (const subject of subjects) {
      measureRound(subject, round);
    }
  }
  const [first, ...others] = subjects.map(createCost);
  const keyRecordBytes = measureKeyRecordBytes(first.size);
  return [{...first, keyRecordBytes}, ...others];
}
