/** Helpers for tests that run a fleet of real processes. */
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

/**
 * Clock skew of the test proxies. Keys that are created later than this after
 * the start of a proxy run without delay.
 */
const CLOCK_SKEW_MS = 50;

/** The audit of a fleet without errors. */
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
 * Starts a fleet and waits until requests with new keys run without delay.
 * @param plan - Upstreams, services, routes and settings of the fleet.
 * @returns The fleet.
 */
export async function startFleet(plan = BILLING_PLAN): Promise<Fleet> {
  const fleet = await Fleet.start(plan);
  await waitForClockSkew();
  return fleet;
}

/**
 * Waits for the clock skew, after which new keys are certainly younger than
 * every proxy that is ready now.
 */
export async function waitForClockSkew(): Promise<void> {
  const startedAt = Date.now();
  await waitUntil('new keys to be younger than the proxies', () => {
    return Date.now() > startedAt + CLOCK_SKEW_MS;
  });
}

/**
 * Creates a charge with a new idempotency key.
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
 * Creates a read request.
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
 * Starts a load generator with 12 workers.
 * @param nodes - Nodes whose proxies receive the requests in turn.
 * @param createCall - Creates the n-th request.
 * @returns The load generator.
 */
export function startLoad(
  nodes: readonly FleetNode[],
  createCall: (n: number) => CallRequest,
): LoadGenerator {
  const proxies = nodes.map(({proxy}) => proxy);
  return new LoadGenerator({workers: 12, proxies, createCall});
}

/**
 * Waits until a load generator has recorded more results.
 * @param load - The load generator.
 * @param count - Number of further results.
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
 * Resends a request, as its caller would, until its outcome is known.
 * @param caller - The caller.
 * @param nodes - Nodes whose proxies receive the request in turn.
 * @param call - The request, with the same key each time.
 * @param isSettled - Reports whether a result is final.
 * @returns All results, in order; the last one is final.
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
    throw new Error(`${call.path} only got: ${[...kinds].join()}`, {
      cause: error,
    });
  }
  return results;
}

/**
 * Compares the results that callers got with the journals of the upstreams.
 * @param fleet - The fleet.
 * @param records - Calls and their results.
 * @returns The audit; equals {@link CLEAN_AUDIT} if there are no errors.
 */
export async function auditFleet(
  fleet: Fleet,
  records: readonly LoadRecord[],
): Promise<ReturnType<typeof auditRecords>> {
  return auditRecords(records, await fleet.readJournal());
}
