/** Deadline of a planned stop. */
import {MeshState} from './mesh_state.js';

/** Time before the end of the grace period at which calls are refused. */
const STOP_RESERVE_MS = 350;

/**
 * Least time for which a stopping proxy accepts calls: the platform polls its
 * readiness every second and stops sending callers after two failures.
 */
export const ACCEPT_CALLS_MS = 2_600;

/**
 * Time for which peers still send attempts to the upstream of a stopping proxy.
 * If they stopped at once, each restart would cost the fleet the upstream's slots
 * for the whole stop.
 */
export const ACCEPT_ATTEMPTS_MS = 1_800;

/**
 * Multiple of its expected time that a request must have left before the stop
 * deadline: one request in a hundred takes three to five times as long as most.
 */
const STOP_TIME_FACTOR = 5;

/**
 * Gets the time at which a stopping proxy refuses its remaining calls.
 * @returns The time, or undefined where no stop was requested.
 */
export function getStopDeadline(state: MeshState): number | undefined {
  const {stopRequestedAt, settings} = state;
  return stopRequestedAt === undefined
    ? undefined
    : stopRequestedAt + settings.graceMs - STOP_RESERVE_MS;
}

/** A request that this proxy may take. */
export interface StopCandidate {
  /** When its caller no longer waits for it, at the latest. */
  readonly deadlineAt: number;
  readonly expectedMs: number;
  /**
   * Time since the begin of the stop in which it is taken if it almost certainly
   * finishes, since its sender has nowhere better to send it.
   */
  readonly toleratedForMs: number;
}

/**
 * Reports whether the end of a planned stop may cut a request that is taken now. One
 * whose deadline is no later cannot be cut, however long it runs.
 * @param state - This proxy's state.
 * @param candidate - The request.
 * @param at - Now, in milliseconds.
 * @returns False also where no stop was requested.
 */
export function mayBeCutByStop(
  state: MeshState,
  {deadlineAt, expectedMs, toleratedForMs}: StopCandidate,
  at: number,
): boolean {
  const {stopRequestedAt} = state;
  const endsAt = getStopDeadline(state);
  if (
    stopRequestedAt === undefined ||
    endsAt === undefined ||
    deadlineAt <= endsAt
  ) {
    return false;
  }
  const isTolerated = at - stopRequestedAt < toleratedForMs;
  return !isTolerated || at + expectedMs * STOP_TIME_FACTOR > endsAt;
}
