/**
 * What the decision core costs as the fleet grows, without sockets: processor
 * time of control and of calls, sizes of messages, memory of the state.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {FoldStateSchema} from '../model/fold_state.js';
import {Attempt, PeerRequestSchema} from '../model/peer.js';
import {CoreDriver, createFleetPatch} from './core_driver.js';
import {HIGH_LIMIT_SERVICE} from './proxy_setup.js';
import {summarizeSamples, SampleSummary} from './stats.js';

const US_PER_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
const TICK_MS = 25;
const TICKS_PER_SECOND = 1_000 / TICK_MS;
const CALLS_PER_SAMPLE = 200;
const CHANGES_PER_REPETITION = 5;

/** Enough that what else the collector frees does not show. */
const KEY_RECORD_COUNT = 20_000;
const MAX_KEY_ATTEMPTS = 400_000;

export interface CoreCostPlan {
  readonly sizes: readonly number[];
  readonly repetitions: number;
}

/** Costs of one proxy in a fleet of one size. */
export interface CoreCost {
  readonly size: number;
  /** One second of ticks with one gossip exchange each way. */
  readonly idleUsPerSecond: SampleSummary;
  /** One change: fold, table, push, announcement, adoption. */
  readonly changeUs: SampleSummary;
  /** One call as entry and one as owner, without I/O. */
  readonly entryCallUs: SampleSummary;
  readonly ownerCallUs: SampleSummary;
  /** Checking a gossip message on arrival. */
  readonly gossipParseUs: SampleSummary;
  /** Parsing and checking a whole state, as a starting proxy does. */
  readonly stateParseUs: SampleSummary;
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

function measureElapsedUs(action: () => void): number {
  const startedAt = performance.now();
  action();
  return (performance.now() - startedAt) * US_PER_MS;
}

/** Runs one second of control traffic; returns its processor time. */
function measureIdleSecondUs(driver: CoreDriver, second: number): number {
  const request = createGossipRequest(driver, second);
  return measureElapsedUs(() => {
    for (let tick = 0; tick < TICKS_PER_SECOND; tick += 1) {
      driver.advance(TICK_MS);
      driver.processEvent({kind: 'tick'});
    }
    driver.processEvent({kind: 'peerAsked', requestId: `${second}`, request});
  });
}

function createGossipRequest(driver: CoreDriver, heartbeat: number) {
  const describeMember = (index: number) =>
    driver.describeMember(heartbeat + index, heartbeat);
  return {
    kind: 'gossip',
    from: describeMember(1),
    members: [
      describeMember(2),
      describeMember(3),
      describeMember(4),
      describeMember(5),
    ],
    suspects: [],
    vmRevision: 0,
  } as const;
}

function createChange(index: number) {
  const {routes} = createFleetPatch(1);
  const [route] = Object.values(routes ?? {});
  const pathPrefix = `/changed/${index}`;
  return {routes: {[`changed-${index}`]: {...route!, pathPrefix}}};
}

/** Removes and adds an upstream in turns, as a replaced VM does. */
function createAddressChange(driver: CoreDriver, index: number) {
  const {upstreams = {}} = createFleetPatch(driver.size);
  const id = `vm-${driver.size - 1}`;
  const peerAddress = `10.9.0.${index + 1}:8002`;
  return {upstreams: {[id]: {...upstreams[id]!, peerAddress}}};
}

const OK_ANSWER = {
  kind: 'answer',
  status: 200,
  headers: {},
  body: new Uint8Array(64),
} as const;

function measureEntryCallUs(driver: CoreDriver, repetition: number): number {
  // The last service is the last route, so the whole list is searched.
  const service = `service-${driver.proxy.log.table.services.size - 1}`;
  const call = {
    method: 'GET',
    path: `/${service}/x`,
    host: 'h',
    fingerprint: 'f',
    isRetriedByOuterCall: false,
  };
  const us = measureElapsedUs(() => {
    for (let index = 0; index < CALLS_PER_SAMPLE; index += 1) {
      const callId = `${repetition}-${index}`;
      const [effect] = driver.reduce({kind: 'callArrived', callId, call});
      if (effect?.kind !== 'sendAttempt') {
        throw new Error(`A call gave ${effect?.kind}.`);
      }
      const {attemptId} = effect.attempt;
      driver.reduce({kind: 'attemptAnswered', attemptId, result: OK_ANSWER});
    }
  });
  return us / CALLS_PER_SAMPLE;
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

function measureOwnerCallUs(driver: CoreDriver, repetition: number): number {
  const us = measureElapsedUs(() => {
    for (let index = 0; index < CALLS_PER_SAMPLE; index += 1) {
      const attemptId = `o-${repetition}-${index}`;
      const attempt = createAttempt(driver, attemptId);
      driver.reduce({kind: 'attemptArrived', attempt});
      driver.reduce({kind: 'upstreamAnswered', attemptId, answer: OK_ANSWER});
    }
  });
  return us / CALLS_PER_SAMPLE;
}

function collectGarbage(): void {
  setFlagsFromString('--expose_gc');
  const gc = runInNewContext('gc') as () => void;
  gc();
}

function createDriverAndMeasureHeap(size: number): {
  driver: CoreDriver;
  heapMb: number;
} {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const driver = new CoreDriver(size);
  // A core that has heard of every member holds its largest view.
  for (let index = 0; index < size; index += 1) {
    const request = createGossipRequest(driver, index);
    driver.processEvent({kind: 'peerAsked', requestId: `${index}`, request});
  }
  collectGarbage();
  const heapMb = (process.memoryUsage().heapUsed - before) / BYTES_PER_MB;
  return {driver, heapMb};
}

class SamplesByName {
  private readonly samples = new Map<string, number[]>();

  add(name: string, value: number): void {
    const values = this.samples.get(name) ?? [];
    values.push(value);
    this.samples.set(name, values);
  }

  summarize(name: string): SampleSummary {
    return summarizeSamples(this.samples.get(name) ?? []);
  }
}

interface MeasuredCore {
  readonly driver: CoreDriver;
  readonly heapMb: number;
  readonly samples: SamplesByName;
}

function measureRepetition(
  {driver, samples}: MeasuredCore,
  repetition: number,
): void {
  samples.add('idle', measureIdleSecondUs(driver, repetition + 1));
  for (let index = 0; index < CHANGES_PER_REPETITION; index += 1) {
    const changeIndex = repetition * CHANGES_PER_REPETITION + index;
    // Once the sequence moves, peers must not seem to be ahead or behind.
    const patch =
      index % 2 === 0
        ? createChange(changeIndex)
        : createAddressChange(driver, changeIndex);
    samples.add(
      'change',
      measureElapsedUs(() => driver.publish(patch)),
    );
  }
  samples.add('entry', measureEntryCallUs(driver, repetition));
  samples.add('owner', measureOwnerCallUs(driver, repetition));
  const gossipJson = JSON.stringify(createGossipRequest(driver, repetition));
  samples.add(
    'gossip',
    measureElapsedUs(() => PeerRequestSchema.parse(JSON.parse(gossipJson))),
  );
  const stateJson = JSON.stringify(driver.proxy.log.latest);
  samples.add(
    'state',
    measureElapsedUs(() => FoldStateSchema.parse(JSON.parse(stateJson))),
  );
}

/** Runs keyed attempts until enough of them belong to this home. */
function measureKeyRecordBytes(size: number): number {
  const driver = new CoreDriver(size);
  // A home that started lately must doubt keys, and so would not run them.
  driver.advance(3 * HIGH_LIMIT_SERVICE.keyLifetimeMs);
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
    driver.reduce({kind: 'upstreamAnswered', attemptId, answer: OK_ANSWER});
    if (keys.size >= KEY_RECORD_COUNT) {
      break;
    }
  }
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  return (after - before) / keys.size;
}

function createCost({driver, heapMb, samples}: MeasuredCore): CoreCost {
  return {
    size: driver.size,
    idleUsPerSecond: samples.summarize('idle'),
    changeUs: samples.summarize('change'),
    entryCallUs: samples.summarize('entry'),
    ownerCallUs: samples.summarize('owner'),
    gossipParseUs: samples.summarize('gossip'),
    stateParseUs: samples.summarize('state'),
    stateBytes: JSON.stringify(driver.proxy.log.latest).length,
    gossipBytes: JSON.stringify(createGossipRequest(driver, 1)).length,
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
  createDriverAndMeasureHeap(plan.sizes[0]);
  const cores = plan.sizes.map(size => ({
    ...createDriverAndMeasureHeap(size),
    samples: new SamplesByName(),
  }));
  for (let repetition = 0; repetition < plan.repetitions; repetition += 1) {
    for (const core of cores) {
      measureRepetition(core, repetition);
    }
  }
  const [first, ...others] = cores.map(createCost);
  const keyRecordBytes = measureKeyRecordBytes(first.size);
  return [{...first, keyRecordBytes}, ...others];
}
