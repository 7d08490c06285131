/** The fleet of the demo and its requests. */
import {v7 as createUuidV7} from 'uuid';
import {CallRequest} from '../standins/harness/caller.js';
import {FleetPlan, UpstreamPlan} from '../standins/harness/fleet_plan.js';

const ZONES = ['zilina-a', 'zilina-b', 'martin-c'] as const;

/** Time that an upstream works on a request. */
const WORK_MS = 20;

/** One of this many calls of a load is a charge; the others are reads. */
const CALLS_PER_CHARGE = 4;

export const DESK_SERVICE = 'subscription-desk';
export const BILLING_SERVICE = 'billing-core';

/** Two services, each with one upstream per zone. */
export const DEMO_PLAN: FleetPlan = {
  region: 'slovakia',
  services: {
    [DESK_SERVICE]: {slots: 10, connections: 120},
    [BILLING_SERVICE]: {slots: 10, connections: 120},
  },
  routes: {
    plans: {pathPrefix: '/plans', service: DESK_SERVICE},
    charges: {pathPrefix: '/charges', service: BILLING_SERVICE},
  },
  upstreams: [
    ...createUpstreams('desk', DESK_SERVICE),
    ...createUpstreams('billing', BILLING_SERVICE),
  ],
  // Gossip often, since the demo lasts only about a minute.
  dissemination: {gossipIntervalMs: 200, watchersPerZone: 1},
};

function createUpstreams(prefix: string, service: string): UpstreamPlan[] {
  return ZONES.map((zone, index) => ({
    id: `${prefix}-${index + 1}`,
    service,
    zone,
  }));
}

/**
 * Creates a call that reads a subscription plan.
 * @param path - Path below `/plans`.
 * @returns The call.
 */
export function createReadCall(path: string): CallRequest {
  return {
    method: 'GET',
    path: `/plans/${path}`,
    headers: {'x-work-ms': String(WORK_MS)},
  };
}

/**
 * Creates a charge with a new idempotency key.
 * @param path - Path below `/charges`.
 * @returns The call.
 */
export function createChargeCall(path: string): CallRequest {
  return {
    method: 'POST',
    path: `/charges/${path}`,
    headers: {'x-work-ms': String(WORK_MS)},
    body: JSON.stringify({amountCents: 2_990}),
    key: createUuidV7(),
  };
}

/**
 * Creates a factory for the calls of a load, a mix of reads and charges.
 * @param name - Part of each path, unique to the load.
 * @returns A function that creates the n-th call.
 */
export function createMixedCallFactory(
  name: string,
): (n: number) => CallRequest {
  return n => {
    const path = `${name}-${n}`;
    return n % CALLS_PER_CHARGE === 0
      ? createChargeCall(path)
      : createReadCall(path);
  };
}
