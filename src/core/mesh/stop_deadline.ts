/** How much time a stopping proxy has left. */
import {MeshState} from './mesh_state.js';

/** Time before the end of the grace period at which calls are given up. */
const STOP_RESERVE_MS = 350;

/**
 * Multiple of its usual time that a request must have before the stop ends:
 * one in a hundred takes three to five times as long as the others.
 */
const STOP_TIME_FACTOR = 5;

/** When a stopping proxy gives up what is left; undefined while it stays. */
export function getStopDeadline(state: MeshState): number | undefined {
  const {stopRequestedAt, settings} = state;
  return stopRequestedAt === undefined
    ? undefined
    : stopRequestedAt + settings.graceMs - STOP_RESERVE_MS;
}

/**
 * Tells whether a request that starts now surely ends before this proxy does.
 * @param state - This proxy's state.
 * @param usualMs - The time that such requests usually take.
 * @param at - Now, in milliseconds.
 */
export function finishesBeforeStop(
  state: MeshState,
  usualMs: number,
  at: number,
): boolean {
  const deadlineAt = getStopDeadline(state);
  return (
    deadlineAt === undefined || at + usualMs * STOP_TIME_FACTOR <= deadlineAt
  );
}
