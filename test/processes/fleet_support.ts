/** What the tests with real processes share. */
import {v7 as createUuidV7} from 'uuid';
import {auditRecords} from '../../src/standins/harness/audit.js';
import {
  Caller,
  CallRequest,
  CallResult,
} from '../../src/standins/harness/caller.js';
import {Fleet, FleetNode} from '../../src/standins/harness/fleet.js';
import {FleetPlan} from '../../src/standins/harness/fleet_plan.js';
import {
  describeResult,
  LoadGenerator,
  LoadRecord,
} from '../../src/standins/harness/load_generator.js';
import {waitUntil} from '../../src/standins/harness/wait_for.js';

const ZONES = ['zilina-a', 'zilina-b', 'martin-c'] as const;

/** Clock skew of test proxies; keys that are younger may run at once. */
const CLOCK_SKEW_MS = 50;

export const CLEAN_AUDIT = {
  duplicateExecutions: [],
  falseNotRunReports: [],
  unfinishedAnswers: [],
  mismatchedAnswers: [],
};

/** Three billing upstreams in three zones, with reads and charges. */
export const BILLING_PLAN: FleetPlan = {
  region: 'slovakia',
  services: {'billing-core': {slots: 10, connections: 120}},
  routes: {
    charges: {pathPrefix: '/charges', service: 'billing-core'},
    stock: {pathPrefix: '/stock', service: 'billing-core'},
  },
  upstreams: ZONES.map((zone, index) => ({
    id: `billing-${index + 1}`,
    service: 'billing-core',
    zone,
  })),
  dissemination: {gossipIntervalMs: 100, watchersPerZone: 1},
  limits: {clockSkewMs: CLOCK_SKEW_MS},
  logLevel: 'warn',
};

/**
 * Starts a fleet and waits until it takes new keys.
 * @param plan - What it is made of.
 * @returns The fleet.
 */
export async function startFleet(plan = BILLING_PLAN): Promise<Fleet> {
  const fleet = await Fleet.start(plan);
  await waitForClockSkew();
  return fleet;
}

/** Waits until new keys are younger than every proxy that is ready now. */
export async function waitForClockSkew(): Promise<void> {
  const startedAt = Date.now();
  await waitUntil('new keys to be younger than the proxies', () => {
    return Date.now() > startedAt + CLOCK_SKEW_MS;
  });
}

/**
 * Makes a charge with a new key.
 * @param name - Last part of its path, unique in the test.
 * @param headers - Marks for the upstream.
 * @returns The request.
 */
export function createCharge(
  name: string,
  headers: Readonly<Record<string, string>> = {},
): CallRequest {
  const path = `/charges/${name}`;
  const key = createUuidV7();
  return {method: 'POST', path, headers, body: name, key};
}

/**
 * Makes a read.
 * @param name - Last part of its path, unique in the test.
 * @param headers - Marks for the upstream.
 * @returns The request.
 */
export function createRead(
  name: string,
  headers: Readonly<Record<string, string>> = {},
): CallRequest {
  return {method: 'GET', path: `/stock/${name}`, headers};
}

/**
 * Starts a load.
 * @param nodes - Nodes whose proxies take the requests in turn.
 * @param createCall - Makes the n-th request.
 * @returns The load.
 */
export function startLoad(
  nodes: readonly FleetNode[],
  createCall: (n: number) => CallRequest,
): LoadGenerator {
  const proxies = nodes.map(({proxy}) => proxy);
  return new LoadGenerator({workers: 12, proxies, createCall});
}

/**
 * Waits until a load has dealt with further requests.
 * @param load - The load.
 * @param count - How many.
 */
export async function waitForMoreRecords(
  load: LoadGenerator,
  count: number,
): Promise<void> {
  const target = load.records.length + count;
  await waitUntil(`${count} further requests`, () => {
    return load.records.length >= target;
  });
}

/**
 * Sends a request again, as its caller would, until its fate is known.
 * @param caller - The caller.
 * @param nodes - Nodes whose proxies are asked in turn.
 * @param call - The request, under the same key.
 * @param isSettled - Whether the caller stops asking.
 * @returns Everything that came back, the last one settled.
 */
export async function resendUntil(
  caller: Caller,
  nodes: readonly FleetNode[],
  call: CallRequest,
  isSettled: (result: CallResult) => boolean,
): Promise<readonly CallResult[]> {
  const results: CallResult[] = [];
  try {
    await waitUntil(`${call.path} to be settled`, async () => {
      const {proxy} = nodes[results.length % nodes.length];
      const result = await caller.send(proxy.ports.callers, call);
      results.push(result);
      return isSettled(result);
    });
  } catch (error) {
    const kinds = new Set(results.map(describeResult));
    throw new Error(`${call.path} got ${[...kinds].join()}`, {cause: error});
  }
  return results;
}

/**
 * Compares what callers got with what the fleet's upstreams journalled.
 * @param fleet - The fleet.
 * @param records - What callers got.
 * @returns The audit.
 */
export async function auditFleet(
  fleet: Fleet,
  records: readonly LoadRecord[],
): Promise<ReturnType<typeof auditRecords>> {
  return auditRecords(records, await fleet.readJournal());
}
