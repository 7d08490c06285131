/** Deadline of a planned stop. */
import {MeshState} from './mesh_state.js';

/** Time before the end of the grace period at which calls are refused. */
const STOP_RESERVE_MS = 350;

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

/**
 * Reports whether a request that starts now almost certainly finishes before
 * the stop deadline.
 * @param state - This proxy's state.
 * @param expectedMs - Expected time of the request.
 * @param at - Now, in milliseconds.
 */
export function finishesBeforeStop(
  state: MeshState,
  expectedMs: number,
  at: number,
): boolean {
  const deadlineAt = getStopDeadline(state);
  return (
    deadlineAt === undefined || at + expectedMs * STOP_TIME_FACTOR <= deadlineAt
  );
}
