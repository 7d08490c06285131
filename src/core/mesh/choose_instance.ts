/** Chooses the upstream of an attempt by its estimated time to answer. */
import {Instance, MeshRoute} from '../../model/mesh.js';
import {
  UpstreamLoad,
  estimateInFlight,
  getOrCreateLoad,
  isEjected,
} from '../entry/load_view.js';
import {estimateTransferMs} from './link_load.js';
import {MeshState, getLinkAddress} from './mesh_state.js';
import {getPreferredInstances} from './preferred_instances.js';
import {estimateLimitDelayMs} from './rate_limit.js';
import {RUN_SHARE_OF_AIM, getPriorRunMs} from './run_estimates.js';

/**
 * Penalty that is added to the estimate of an upstream of another zone, as a
 * multiple of {@link getPriorRunMs}: latency is higher, and traffic between
 * zones is billed by the byte. At the users' prices, the traffic of a call of
 * 6 KB costs a tenth of the value of the call, that of an upload of 60 KB as much
 * as a late answer, and that of a call of 1 KB less than the wait that another
 * zone saves. The largest penalty is one aim.
 */
const CROSS_ZONE_PENALTY = 0.35;
const CROSS_ZONE_PENALTY_PER_KB = 0.25;
const MAX_CROSS_ZONE_PENALTY = 1 / RUN_SHARE_OF_AIM;

/** Assumed bytes of an answer until the route's average is known. */
const DEFAULT_ANSWER_BYTES = 2_000;

/** Preferred upstreams that are enough to choose from. */
const MIN_PREFERRED = 4;

/** Largest share of a service's upstreams that outlier ejection may exclude. */
const MAX_EJECTED_SHARE = 0.5;

/** Relative slowdown of an upstream whose slots are all in use. */
const FULL_LOAD_SLOWDOWN = 0.25;

/** Assumed slowness of an upstream that is warming up, until it reports. */
const COLD_SLOWNESS = 2;

/**
 * Share of calls that explore upstreams without a recent load report. Without
 * them, an upstream that looked slow at first would never be chosen again.
 */
const EXPLORATION_SHARE = 0.03;

/** Age above which a load report is too old to judge an upstream by. */
const LOAD_REPORT_STALE_MS = 3_000;

/** Age up to which a load report tells whether an upstream has room. */
const ROOM_REPORT_AGE_MS = 500;

/** Margin that owners keep until the aim, as a share of it. */
const ROOM_MARGIN_SHARE = 0.15;

/** Bound of the failure rate that keeps estimates finite. */
const MAX_FAILURE_RATE = 0.9;

/** What the choice depends on, beside the state of the fleet. */
export interface InstanceQuery {
  readonly service: string;
  readonly route: MeshRoute;
  /** Instances that must not be chosen. */
  readonly tried: ReadonlySet<string>;
  /** Bytes of the request's body. */
  readonly bodyBytes: number;
  /** Time until the caller's deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /**
   * Only upstreams that probably answer within this time are chosen, in
   * milliseconds; undefined: all.
   */
  readonly usefulMs?: number;
}

/**
 * Chooses the upstream for an attempt. One of another zone is preferred only
 * if its estimate, penalty included, is lower.
 * @param state - This proxy's state.
 * @param query - The call.
 * @param at - Now, in milliseconds.
 * @param entropy - A random unsigned 32-bit integer.
 * @returns The instance, or undefined where none accepts new work.
 */
export function chooseInstance(
  state: MeshState,
  query: InstanceQuery,
  at: number,
  entropy: number,
): Instance | undefined {
  const candidates = findCandidates(state, query, at);
  if (candidates.length === 0) {
    return undefined;
  }
  const toExplore = chooseForExploration(state, candidates, at, entropy);
  if (toExplore !== undefined) {
    return toExplore;
  }
  const getEstimate = (instance: Instance) =>
    estimateAnswerMs(state, instance, query, at);
  const {chooser} = state.settings.policy;
  const sameZone = candidates.filter(({zone}) => zone === state.settings.zone);
  const otherZones = candidates.filter(
    ({zone}) => zone !== state.settings.zone,
  );
  if (sameZone.length === 0 || otherZones.length === 0) {
    return chooser.choose(candidates, getEstimate, entropy);
  }
  const bestNearby = chooser.choose(sameZone, getEstimate, entropy);
  const bestElsewhere = chooser.choose(otherZones, getEstimate, entropy);
  return getEstimate(bestElsewhere) < getEstimate(bestNearby)
    ? bestElsewhere
    : bestNearby;
}

/**
 * Finds the upstreams that probably answer in time: among the preferred ones, and
 * among all of the service where too few of those are left to choose from.
 */
function findCandidates(
  state: MeshState,
  query: InstanceQuery,
  at: number,
): Instance[] {
  const {service, tried} = query;
  const all = state.fleet.acceptingByService.get(service) ?? [];
  const preferred = getPreferredInstances(state, service);
  if (preferred.length < all.length) {
    // Nothing speaks against these: what only some of a service shows, such as one
    // zone, is no reason to doubt it.
    const sound = preferred.filter(
      instance =>
        !tried.has(instance.id) &&
        isSound(state, instance, at) &&
        hasRoom(state, instance, query, at),
    );
    if (sound.length >= MIN_PREFERRED) {
      return sound;
    }
  }
  return getCandidates(state, all, tried, at).filter(instance =>
    hasRoom(state, instance, query, at),
  );
}

/** Reports whether nothing that is known of an upstream or its proxy excludes it. */
function isSound(state: MeshState, instance: Instance, at: number): boolean {
  const load = state.loads.get(instance.id);
  return (
    !hasStopped(state, instance) &&
    !isStopping(state, instance, at) &&
    (load === undefined || (load.downUntil <= at && !isEjected(load, at)))
  );
}

/**
 * Reports whether an upstream probably answers a call in time, or no recent report
 * shows its load. Load pattern: a service whose upstreams are all full. Each
 * further owner that is asked then costs both proxies processor time, and refuses.
 */
function hasRoom(
  state: MeshState,
  instance: Instance,
  query: InstanceQuery,
  at: number,
): boolean {
  const {usefulMs, timeLeftMs, route, tried} = query;
  const load = getOrCreateLoad(state.loads, instance.id);
  const isFirst = tried.size === 0;
  const heldMs = isFirst ? timeLeftMs : (usefulMs ?? timeLeftMs);
  if (estimateLimitDelayMs(load, at) > heldMs) {
    return false;
  }
  if (usefulMs === undefined) {
    return true;
  }
  if (at - load.reportedAt > ROOM_REPORT_AGE_MS) {
    return true;
  }
  // Since the report, the owner has worked off a part of its queue. Without this,
  // slots would be idle while all entries refuse by the same reports.
  const workedOffMs = isFirst ? at - load.reportedAt : 0;
  const answerMs = estimateLoadedMs(state, instance, query, at) - workedOffMs;
  return answerMs <= usefulMs - route.aimMs * ROOM_MARGIN_SHARE;
}

/** For a small share of calls, picks an upstream without a recent report. */
function chooseForExploration(
  state: MeshState,
  candidates: readonly Instance[],
  at: number,
  entropy: number,
): Instance | undefined {
  if (entropy / 2 ** 32 >= EXPLORATION_SHARE) {
    return undefined;
  }
  const unexplored = candidates.filter(({id}) => {
    const load = state.loads.get(id);
    const isStale = at - (load?.reportedAt ?? 0) > LOAD_REPORT_STALE_MS;
    const isHeld = load !== undefined && estimateLimitDelayMs(load, at) > 0;
    return isStale && !isHeld;
  });
  return unexplored[entropy % Math.max(1, unexplored.length)];
}

/**
 * Excludes upstreams that were tried, whose proxy has stopped or is stopping,
 * that refuse connections, or that are ejected. Except for the first two, a
 * criterion that would exclude all remaining upstreams is ignored.
 */
function getCandidates(
  state: MeshState,
  all: readonly Instance[],
  tried: ReadonlySet<string>,
  at: number,
): Instance[] {
  const untried = all.filter(
    instance => !tried.has(instance.id) && !hasStopped(state, instance),
  );
  const notStopping = untried.filter(
    instance => !isStopping(state, instance, at),
  );
  const accepting = notStopping.length > 0 ? notStopping : untried;
  const notDown = accepting.filter(
    ({id}) => (state.loads.get(id)?.downUntil ?? 0) <= at,
  );
  const available = notDown.length > 0 ? notDown : accepting;
  const isEjectedInstance = ({id}: Instance) => {
    const load = state.loads.get(id);
    return load !== undefined && isEjected(load, at);
  };
  const healthy = available.filter(instance => !isEjectedInstance(instance));
  // If most of a service looks unhealthy, the evidence is probably wrong.
  const ejectsTooMany = healthy.length < all.length * (1 - MAX_EJECTED_SHARE);
  return healthy.length > 0 && !ejectsTooMany ? healthy : available;
}

/** Reports whether an upstream's proxy has announced that its process ends. */
function hasStopped(state: MeshState, instance: Instance): boolean {
  return state.peers.get(getLinkAddress(state, instance))?.stopped === true;
}

/** Reports whether an upstream's proxy is stopping; the upstream may run on. */
function isStopping(state: MeshState, instance: Instance, at: number): boolean {
  const address = getLinkAddress(state, instance);
  if (address === state.settings.address) {
    return state.leaving;
  }
  const leavingUntil = state.loads.get(instance.id)?.leavingUntil ?? 0;
  return state.peers.get(address)?.leaving === true || leavingUntil > at;
}

/**
 * Estimates the time until an upstream's answer: its queue, its slowness, the
 * retries that its failure rate would cause, the time that the body takes on the way,
 * and the penalty for another zone.
 */
function estimateAnswerMs(
  state: MeshState,
  instance: Instance,
  query: InstanceQuery,
  at: number,
): number {
  const isSameZone = instance.zone === state.settings.zone;
  const penaltyMs = isSameZone
    ? 0
    : getPriorRunMs(query.route.aimMs) * getCrossZonePenalty(state, query);
  return estimateLoadedMs(state, instance, query, at) + penaltyMs;
}

/** Estimates the same without the penalty for another zone. */
function estimateLoadedMs(
  state: MeshState,
  instance: Instance,
  {route, bodyBytes}: InstanceQuery,
  at: number,
): number {
  const load = getOrCreateLoad(state.loads, instance.id);
  const priorMs = getPriorRunMs(route.aimMs);
  const runMs = priorMs * getSlowness(state, load, instance, at);
  const requests = estimateInFlight(load, at);
  const waiting = Math.max(0, requests + 1 - instance.slots);
  const slotWaitMs = (waiting / instance.slots) * runMs;
  const waitMs = Math.max(slotWaitMs, estimateLimitDelayMs(load, at));
  const utilization = Math.min(1, requests / instance.slots);
  const failureRate = Math.min(MAX_FAILURE_RATE, load.report?.failing ?? 0);
  const transferMs = estimateTransferMs(
    state,
    instance,
    load,
    bodyBytes,
    state.answerBytesByRoute.get(route.name) ?? 0,
    at,
  );
  const ownerMs = runMs * (1 + FULL_LOAD_SLOWDOWN * utilization) + waitMs;
  return ownerMs / (1 - failureRate) + transferMs;
}

/** Gets the penalty for another zone, which grows with the bytes of a call. */
function getCrossZonePenalty(
  {answerBytesByRoute}: MeshState,
  {route, bodyBytes}: InstanceQuery,
): number {
  const answerBytes =
    answerBytesByRoute.get(route.name) ?? DEFAULT_ANSWER_BYTES;
  const bytes = bodyBytes + answerBytes;
  const penalty =
    CROSS_ZONE_PENALTY + (bytes / 1_000) * CROSS_ZONE_PENALTY_PER_KB;
  return Math.min(MAX_CROSS_ZONE_PENALTY, penalty);
}

/**
 * Gets the slowness that is to be expected. Where cold upstreams are limited, a
 * report from before an upstream turned cold does not count more than the list.
 */
export function getSlowness(
  {settings, fleet}: MeshState,
  load: UpstreamLoad,
  {id, coldMs}: Instance,
  at: number,
): number {
  const reported = load.report?.slowness;
  if (settings.coldLimit === undefined) {
    return reported ?? (coldMs > 0 ? COLD_SLOWNESS : 1);
  }
  const isListedCold = (fleet.coldUntil.get(id) ?? -Infinity) > at;
  return isListedCold
    ? Math.max(reported ?? 0, COLD_SLOWNESS)
    : (reported ?? 1);
}
