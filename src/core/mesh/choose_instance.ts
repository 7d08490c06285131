/** Chooses the upstream of an attempt by the time until its answer. */
import {Instance, MeshRoute} from '../../model/mesh.js';
import {
  UpstreamLoad,
  estimateInFlight,
  getOrCreateLoad,
  isEjected,
} from '../entry/load_view.js';
import {MeshState, getLinkAddress} from './mesh_state.js';
import {getPriorRunMs} from './run_estimates.js';

/**
 * Time by which an upstream of another zone must be faster, as a share of the
 * usual time to run: the way is longer, and its bytes are paid for. At the
 * users' prices 6 KB cost a tenth of what such a call is worth, and 1 KB less
 * than the wait that another zone saves.
 */
const CROSS_ZONE_PENALTY = 0.35;
const CROSS_ZONE_PENALTY_PER_KB = 0.25;
const MAX_CROSS_ZONE_PENALTY = 2;

/** Bytes of a call of whose route nothing has been answered here yet. */
const DEFAULT_CALL_BYTES = 2_000;

/** Largest share of a service that evidence alone may exclude. */
const MAX_EJECTED_SHARE = 0.5;

/** How much slower an upstream gets from empty to full, by experience. */
const FULL_LOAD_SLOWDOWN = 0.25;

/** Slowness that is assumed of an upstream that has just started. */
const COLD_SLOWNESS = 2;

/**
 * Share of calls that go to an upstream of which nothing recent is known.
 * Without them, one that looks slow at first would never get work again.
 */
const EXPLORATION_SHARE = 0.03;

/** Age of a load report from which an upstream counts as unknown. */
const LOAD_REPORT_STALE_MS = 3_000;

/** Failure rates above this count like this one, to keep costs finite. */
const MAX_FAILURE_RATE = 0.9;

/**
 * Chooses an upstream.
 * @param state - This proxy's state.
 * @param service - The service.
 * @param route - The call's route.
 * @param tried - Instances that are not to be asked.
 * @param at - Now, in milliseconds.
 * @param entropy - A random unsigned 32-bit integer.
 * @returns The instance, or undefined where none takes new work.
 */
export function chooseInstance(
  state: MeshState,
  service: string,
  route: MeshRoute,
  tried: ReadonlySet<string>,
  at: number,
  entropy: number,
): Instance | undefined {
  const all = state.fleet.acceptingByService.get(service) ?? [];
  const candidates = getCandidates(state, all, tried, at);
  if (candidates.length === 0) {
    return undefined;
  }
  const unknown = chooseForExploration(state, candidates, at, entropy);
  if (unknown !== undefined) {
    return unknown;
  }
  const getEstimate = (instance: Instance) =>
    estimateAnswerMs(state, instance, route, at);
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

/** Picks an upstream that is to be got to know, for a few of the calls. */
function chooseForExploration(
  state: MeshState,
  candidates: readonly Instance[],
  at: number,
  entropy: number,
): Instance | undefined {
  if (entropy / 2 ** 32 >= EXPLORATION_SHARE) {
    return undefined;
  }
  const unknown = candidates.filter(
    ({id}) =>
      at - (state.loads.get(id)?.reportedAt ?? 0) > LOAD_REPORT_STALE_MS,
  );
  return unknown[entropy % Math.max(1, unknown.length)];
}

function getCandidates(
  state: MeshState,
  all: readonly Instance[],
  tried: ReadonlySet<string>,
  at: number,
): Instance[] {
  const untried = all.filter(({id}) => !tried.has(id));
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
  // Evidence that condemns most of a service is more likely to be wrong.
  const ejectsTooMany = healthy.length < all.length * (1 - MAX_EJECTED_SHARE);
  return healthy.length > 0 && !ejectsTooMany ? healthy : available;
}

/** Its proxy ends soon, although the upstream may live on. */
function isStopping(state: MeshState, instance: Instance, at: number): boolean {
  const address = getLinkAddress(state, instance);
  if (address === state.settings.address) {
    return state.leaving;
  }
  const leavingUntil = state.loads.get(instance.id)?.leavingUntil ?? 0;
  return state.peers.get(address)?.leaving === true || leavingUntil > at;
}

/** Estimates the time until an answer, failures and distance included. */
function estimateAnswerMs(
  state: MeshState,
  instance: Instance,
  route: MeshRoute,
  at: number,
): number {
  const load = getOrCreateLoad(state.loads, instance.id);
  const usualMs = getPriorRunMs(route.aimMs);
  const runMs = usualMs * getSlowness(load, instance);
  const requests = estimateInFlight(load, at);
  const waiting = Math.max(0, requests + 1 - instance.slots);
  const waitMs = (waiting / instance.slots) * runMs;
  const utilization = Math.min(1, requests / instance.slots);
  const failureRate = Math.min(MAX_FAILURE_RATE, load.report?.failing ?? 0);
  const answerMs =
    (runMs * (1 + FULL_LOAD_SLOWDOWN * utilization) + waitMs) /
    (1 - failureRate);
  const isSameZone = instance.zone === state.settings.zone;
  return (
    answerMs + (isSameZone ? 0 : usualMs * getCrossZonePenalty(state, route))
  );
}

function getCrossZonePenalty(
  {callBytesByRoute: callBytes}: MeshState,
  {name}: MeshRoute,
): number {
  const bytes = callBytes.get(name) ?? DEFAULT_CALL_BYTES;
  const penalty =
    CROSS_ZONE_PENALTY + (bytes / 1_000) * CROSS_ZONE_PENALTY_PER_KB;
  return Math.min(MAX_CROSS_ZONE_PENALTY, penalty);
}

function getSlowness(load: UpstreamLoad, instance: Instance): number {
  const unknown = instance.coldMs > 0 ? COLD_SLOWNESS : 1;
  return load.report?.slowness ?? unknown;
}
