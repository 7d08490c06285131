/** Chooses the upstream of an attempt. */
import {
  RoutingTable,
  ServiceTargets,
  UpstreamTarget,
} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {getRendezvousWinner} from '../hashing.js';
import {isLeaving, Membership} from '../spread/membership.js';
import {
  estimateUtilization,
  getOrCreateLoad,
  getServiceTimeMs,
  isEjected,
  LoadView,
} from './load_view.js';

/** Largest share of a service's upstreams that may be ejected at once. */
const MAX_EJECTED_SHARE = 0.5;

/** Inputs of the choice besides the service. */
export interface BalancerView {
  readonly membership: Membership;
  readonly loads: LoadView;
  /** Location of this entry and penalties for distance. */
  readonly settings: Pick<CoreSettings, 'zone' | 'region' | 'policy'>;
  readonly at: number;
  readonly entropy: number;
}

/**
 * Chooses the upstream of an attempt by load and distance.
 * @param service - The service.
 * @param tried - Upstreams that this call has already tried.
 * @param view - Known state of the upstreams.
 * @returns The upstream, or undefined if none accepts new work.
 */
export function chooseUpstream(
  service: ServiceTargets,
  tried: ReadonlySet<string>,
  view: BalancerView,
): UpstreamTarget | undefined {
  const candidates = getCandidates(service, tried, view);
  if (candidates.length === 0) {
    return undefined;
  }
  const {loads, settings, at, entropy} = view;
  const fastestServiceMs = settings.policy.ranksByExpectedTime
    ? getFastestServiceMs(candidates, loads)
    : 0;
  const getCost = (upstream: UpstreamTarget) => {
    const load = getOrCreateLoad(loads, upstream.id);
    const slowness =
      fastestServiceMs > 0
        ? (getServiceTimeMs(load) ?? fastestServiceMs) / fastestServiceMs
        : 1;
    return (
      estimateUtilization(load, service.slots, at) * slowness +
      getDistancePenalty(upstream, settings)
    );
  };
  return settings.policy.chooser.choose(candidates, getCost, entropy);
}

function getFastestServiceMs(
  candidates: readonly UpstreamTarget[],
  loads: LoadView,
): number {
  const times = candidates.flatMap(({id}) => {
    const load = loads.get(id);
    return (load && getServiceTimeMs(load)) ?? [];
  });
  return times.length === 0 ? 0 : Math.min(...times);
}

function getCandidates(
  service: ServiceTargets,
  tried: ReadonlySet<string>,
  view: BalancerView,
): UpstreamTarget[] {
  const {loads, membership, at} = view;
  const accepting = service.upstreams.filter(
    ({id}) =>
      !tried.has(id) &&
      !isLeaving(membership, id) &&
      (loads.get(id)?.leavingUntil ?? 0) <= at,
  );
  const reachable = accepting.filter(
    ({id}) => (loads.get(id)?.downUntil ?? 0) <= at,
  );
  const eligible = reachable.length > 0 ? reachable : accepting;
  const getEjectionEnd = ({id}: UpstreamTarget) =>
    loads.get(id)?.ejectedUntil ?? 0;
  const ejected = eligible.filter(({id}) => {
    const load = loads.get(id);
    return load !== undefined && isEjected(load, at);
  });
  if (ejected.length === 0) {
    return eligible;
  }
  // If most of a service seems to fail, the observations are more likely to be
  // wrong, so the upstreams whose ejection ends first stay in use.
  ejected.sort((a, b) => getEjectionEnd(b) - getEjectionEnd(a));
  const limit = Math.floor(service.upstreams.length * MAX_EJECTED_SHARE);
  const avoided = new Set(ejected.slice(0, limit));
  const healthy = eligible.filter(upstream => !avoided.has(upstream));
  return healthy.length > 0 ? healthy : eligible;
}

function getDistancePenalty(
  upstream: UpstreamTarget,
  settings: BalancerView['settings'],
): number {
  const {zone, region, policy} = settings;
  if (upstream.region !== region) {
    return policy.otherRegionPenalty;
  }
  return upstream.zone === zone ? 0 : policy.otherZonePenalty;
}

/**
 * Finds the only upstream that may run requests with a key.
 * @param table - The routing table.
 * @param service - The service.
 * @param key - The idempotency key.
 * @returns The key holder, or undefined if the service has no upstream.
 */
export function getKeyHolder(
  table: RoutingTable,
  service: ServiceTargets,
  key: string,
): UpstreamTarget | undefined {
  const id = getRendezvousWinner(key, service.upstreamIds);
  return id === undefined ? undefined : table.upstreams.get(id);
}
