/**
 * Measures how the cost of the decision core grows with the fleet, without
 * sockets: CPU time of control traffic and of calls, message sizes and memory.
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

/** Enough records to make other changes of the heap size negligible. */
const KEY_RECORD_COUNT = 20_000;
/** Limit on the attempts that are made to create the key records. */
const MAX_KEY_ATTEMPTS = 400_000;

export interface CoreCostPlan {
  /** Numbers of proxies in the fleet. */
  readonly sizes: readonly number[];
  readonly repetitions: number;
}

/** Costs of the core of one proxy in a fleet of a given size. */
export interface CoreCost {
  readonly size: number;
  /** One second of ticks, with one sent and one received gossip exchange. */
  readonly idleUsPerSecond: SampleSummary;
  /** One change: folding, routing table, push, announcement and adoption. */
  readonly changeUs: SampleSummary;
  /** One call in the entry, without I/O. */
  readonly entryCallUs: SampleSummary;
  /** One call in the owner, without I/O. */
  readonly ownerCallUs: SampleSummary;
  /** Parsing and validating a received gossip message. */
  readonly gossipParseUs: SampleSummary;
  /** Parsing and validating a whole fold state, as a starting proxy does. */
  readonly stateParseUs: SampleSummary;
  readonly stateBytes: number;
  readonly gossipBytes: number;
  readonly changeBytes: number;
  readonly messagesPerChange: number;
  /** Heap growth by the state of one more core. */
  readonly heapMb: number;
  /**
   * Heap growth by one idempotency key record without an answer. Measured for
   * the first size only, because it does not depend on the fleet size.
   */
  readonly keyRecordBytes?: number;
}

function measureElapsedUs(action: () => void): number {
  const startedAt = performance.now();
  action();
  return (performance.now() - startedAt) * US_PER_MS;
}

/** Runs one second of control traffic and returns its duration. */
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

/** Creates a gossip request whose member list has five entries. */
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

/** Creates a patch that adds one route. */
function createChange(index: number) {
  const {routes} = createFleetPatch(1);
  const [route] = Object.values(routes ?? {});
  const pathPrefix = `/changed/${index}`;
  return {routes: {[`changed-${index}`]: {...route!, pathPrefix}}};
}

/**
 * Creates a patch that gives the last upstream a new address, as a replaced VM
 * has.
 */
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

/** Measures calls in the entry; returns the microseconds for one call. */
function measureEntryCallUs(driver: CoreDriver, repetition: number): number {
  // The route of the last service comes last, so that the search visits all.
  const service = `service-${driver.proxyState.log.table.services.size - 1}`;
  const call = {
    method: 'GET',
    path: `/${service}/x`,
    host: 'h',
    fingerprint: 'f',
    retriedByOuter: false,
  };
  const us = measureElapsedUs(() => {
    for (let index = 0; index < CALLS_PER_SAMPLE; index += 1) {
      const callId = `${repetition}-${index}`;
      const [effect] = driver.reduce({kind: 'callArrived', callId, call});
      if (effect?.kind !== 'sendAttempt') {
        throw new Error(
          `Expected the effect sendAttempt for call ${callId}, but got ${effect?.kind}.`,
        );
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
    version: driver.proxyState.log.active.version,
    idempotent: true,
    privateKey: false,
    timeoutMs: 1_000,
    fingerprint: attemptId,
    suspect: false,
    priority: 'interactive',
  };
}

/** Measures attempts in the owner; returns the microseconds for one attempt. */
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

/** Runs a full garbage collection, so that heap sizes can be compared. */
function collectGarbage(): void {
  setFlagsFromString('--expose_gc');
  const gc = runInNewContext('gc') as () => void;
  gc();
}

/** Creates a core and measures by how much the heap has grown. */
function createDriverAndMeasureHeap(size: number): {
  driver: CoreDriver;
  heapMb: number;
} {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const driver = new CoreDriver(size);
  // Reporting every member to the core brings its member list to full size.
  for (let index = 0; index < size; index += 1) {
    const request = createGossipRequest(driver, index);
    driver.processEvent({kind: 'peerAsked', requestId: `${index}`, request});
  }
  collectGarbage();
  const heapMb = (process.memoryUsage().heapUsed - before) / BYTES_PER_MB;
  return {driver, heapMb};
}

/** Collects the samples of each metric. */
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

/** A core under measurement and its samples. */
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
    // Alternates route changes with replacements of an upstream VM.
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
  const stateJson = JSON.stringify(driver.proxyState.log.latest);
  samples.add(
    'state',
    measureElapsedUs(() => FoldStateSchema.parse(JSON.parse(stateJson))),
  );
}

/**
 * Measures the heap growth by one key record. Runs attempts with different keys
 * until the core has enough records, as it is the key holder of only some keys.
 */
function measureKeyRecordBytes(size: number): number {
  const driver = new CoreDriver(size);
  // A key holder that started recently treats unknown keys as in doubt and does
  // not run them.
  driver.advance(3 * HIGH_LIMIT_SERVICE.keyLifetimeMs);
  const {keys} = driver.proxyState.owner;
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
    stateBytes: JSON.stringify(driver.proxyState.log.latest).length,
    gossipBytes: JSON.stringify(createGossipRequest(driver, 1)).length,
    changeBytes: JSON.stringify(createChange(1)).length,
    messagesPerChange: driver.publish(createChange(999_999)),
    heapMb,
  };
}

/**
 * Measures all sizes alternately, so that noise of the machine affects all of
 * them alike.
 * @param plan - Sizes and repetitions.
 * @returns One element for each size, in the order of the plan.
 */
export function measureCoreCost(plan: CoreCostPlan): CoreCost[] {
  // Warm-up: loads and compiles the code before the first measurement.
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
