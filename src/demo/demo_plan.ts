/** The fleet of the demo and its requests. */
import {v7 as createUuidV7} from 'uuid';
import {CallRequest} from '../standins/harness/caller.js';
import {FleetPlan, UpstreamPlan} from '../standins/harness/fleet_plan.js';

const ZONES = ['zilina-a', 'zilina-b', 'martin-c'] as const;

/** How long the work of one request of the load takes. */
const WORK_MS = 20;

/** One request of the load in so many is a charge; the others are reads. */
const CALLS_PER_CHARGE = 4;

export const DESK_SERVICE = 'subscription-desk';
export const BILLING_SERVICE = 'billing-core';

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
  // Settings for a fleet that is watched by people for a minute.
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
 * Makes a read of a member's plan.
 * @param path - Path below `/plans`.
 * @returns The request.
 */
export function createReadCall(path: string): CallRequest {
  return {
    method: 'GET',
    path: `/plans/${path}`,
    headers: {'x-work-ms': String(WORK_MS)},
  };
}

/**
 * Makes a charge with an idempotency key.
 * @param path - Path below `/charges`.
 * @returns The request.
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
 * Makes the requests of a load, reads and charges mixed.
 * @param name - Part of each path, unique to the load.
 * @returns Maker of the n-th request.
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
