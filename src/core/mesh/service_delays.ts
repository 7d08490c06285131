/**
 * When a service has room again, as an entry knows it from load reports. Load pattern:
 * all upstreams of a service are full, so its calls are refused without asking.
 */
import {MeshRoute} from '../../model/mesh.js';
import {estimateInFlight, getOrCreateLoad} from '../entry/load_view.js';
import {Refusal, createRefusal} from '../refusals.js';
import {getSlowness} from './choose_instance.js';
import {MeshCall} from './mesh_calls.js';
import {MeshState} from './mesh_state.js';
import {clampRetryAfterMs} from './overload_admission.js';
import {estimateLimitDelayMs} from './rate_limit.js';
import {getPriorRunMs} from './run_estimates.js';

/** Retry delay that callers are advised where no upstream accepts work. */
const NO_UPSTREAM_RETRY_AFTER_MS = 400;

/**
 * Creates the refusal of a call for which no upstream could be chosen.
 * @param state - This proxy's state.
 * @param call - The call.
 * @param at - Now, in milliseconds.
 * @returns The refusal, with the shortest delay that an upstream causes.
 */
export function createNoUpstreamRefusal(
  state: MeshState,
  call: MeshCall,
  at: number,
): Refusal {
  const limitDelayMs = getShortestLimitDelayMs(state, call.service, at);
  if (limitDelayMs > 0) {
    return createRefusal('rate_limited', clampRetryAfterMs(limitDelayMs));
  }
  const drainMs = getShortestDrainMs(state, call.service, call.route, at);
  return drainMs !== undefined
    ? createRefusal('queue_full', clampRetryAfterMs(drainMs))
    : createRefusal('no_upstream', NO_UPSTREAM_RETRY_AFTER_MS);
}

/**
 * Gets the shortest wait that rate limits cause at the upstreams of a service.
 * @returns Milliseconds; 0 if one has no limit, or there is no upstream.
 */
function getShortestLimitDelayMs(
  {fleet, loads}: MeshState,
  service: string,
  at: number,
): number {
  const instances = fleet.acceptingByService.get(service) ?? [];
  const delays = instances.map(({id}) =>
    estimateLimitDelayMs(getOrCreateLoad(loads, id), at),
  );
  return delays.length === 0 ? 0 : Math.min(...delays);
}

/**
 * Gets the shortest time in which a queue of a service's upstreams is worked off, by
 * their reports.
 * @returns Milliseconds; undefined if no upstream accepts work, or calls are not refused
 *     by reports.
 */
function getShortestDrainMs(
  state: MeshState,
  service: string,
  {aimMs}: MeshRoute,
  at: number,
): number | undefined {
  const {fleet, loads, settings} = state;
  if (!settings.scarceSlots) {
    return undefined;
  }
  let shortestMs: number | undefined;
  for (const instance of fleet.acceptingByService.get(service) ?? []) {
    const load = getOrCreateLoad(loads, instance.id);
    const waiting = Math.max(0, estimateInFlight(load, at) - instance.slots);
    const runMs = getPriorRunMs(aimMs) * getSlowness(state, load, instance, at);
    const drainMs = ((waiting + 1) / instance.slots) * runMs;
    shortestMs = Math.min(shortestMs ?? Infinity, drainMs);
  }
  return shortestMs;
}
