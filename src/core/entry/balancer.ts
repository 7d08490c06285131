/** Chooses the upstream of an attempt. */
import {
  RoutingTable,
  ServiceTargets,
  UpstreamTarget,
} from '../config/routing_table.js';
import {getRendezvousWinner} from '../hashing.js';
import {isLeaving, Membership} from '../spread/membership.js';
import {getLoad, getUtilization, LoadView} from './load_view.js';

/** Largest share of a service that failures may eject. */
const MAX_EJECTED_SHARE = 0.5;

/** Load that a farther upstream must be below by to be preferred. */
const OTHER_ZONE_PENALTY = 0.25;
const OTHER_REGION_PENALTY = 2;

export interface Place {
  readonly zone: string;
  readonly region: string;
}

/**
 * Chooses the less loaded of two random upstreams, nearer ones first.
 * @param service - The service.
 * @param tried - Upstreams that this call has already tried.
 * @param membership - Tells who is leaving.
 * @param view - Tells load and failures.
 * @param place - Where this entry runs.
 * @param at - Now, in Unix milliseconds.
 * @param entropy - Random 32-bit integer.
 * @returns The upstream, or undefined where none takes new work.
 */
export function chooseUpstream(
  service: ServiceTargets,
  tried: ReadonlySet<string>,
  membership: Membership,
  view: LoadView,
  place: Place,
  at: number,
  entropy: number,
): UpstreamTarget | undefined {
  const candidates = getCandidates(service, tried, membership, view, at);
  if (candidates.length <= 1) {
    return candidates[0];
  }
  const count = candidates.length;
  const first = entropy % count;
  const second = (first + 1 + ((entropy >>> 16) % (count - 1))) % count;
  const cost = (upstream: UpstreamTarget) =>
    getUtilization(getLoad(view, upstream.id), service.slots, at) +
    getDistancePenalty(upstream, place);
  return cost(candidates[first]) <= cost(candidates[second])
    ? candidates[first]
    : candidates[second];
}

function getCandidates(
  service: ServiceTargets,
  tried: ReadonlySet<string>,
  membership: Membership,
  view: LoadView,
  at: number,
): UpstreamTarget[] {
  const untried = service.upstreams.filter(
    ({id}) =>
      !tried.has(id) &&
      !isLeaving(membership, id) &&
      (view.get(id)?.leavingUntil ?? 0) <= at,
  );
  const up = untried.filter(({id}) => (view.get(id)?.downUntil ?? 0) <= at);
  const possible = up.length > 0 ? up : untried;
  const healthy = possible.filter(
    ({id}) => (view.get(id)?.ejectedUntil ?? 0) <= at,
  );
  // Failures that condemn most of a service are more likely to have a cause
  // in common than to tell good upstreams from bad ones, so they are ignored.
  const ejectedShare = 1 - healthy.length / possible.length;
  return ejectedShare > MAX_EJECTED_SHARE ? possible : healthy;
}

function getDistancePenalty(upstream: UpstreamTarget, place: Place): number {
  if (upstream.region !== place.region) {
    return OTHER_REGION_PENALTY;
  }
  return upstream.zone === place.zone ? 0 : OTHER_ZONE_PENALTY;
}

/**
 * Finds the one upstream that may run a key.
 * @param table - The routing table.
 * @param service - The service.
 * @param key - The idempotency key.
 * @returns The key's home, or undefined where the service has no upstream.
 */
export function getHome(
  table: RoutingTable,
  service: ServiceTargets,
  key: string,
): UpstreamTarget | undefined {
  const id = getRendezvousWinner(key, service.upstreamIds);
  return id === undefined ? undefined : table.upstreams.get(id);
}
