/**
 * When the core next has something to do without an input. Load pattern: many proxies
 * with few calls each and little processor time. A timer that fires at a short, fixed
 * interval wakes each of them far more often than anything is due.
 */
import {getHedgeDueAt} from './call_results.js';
import {MeshState, isReady} from './mesh_state.js';
import {PROBE_INTERVAL_MS} from './upstream_health.js';

/**
 * Interval of ticks while what is due depends on many changing facts, and between
 * repetitions of what was due and could not be done, such as a retry without budget.
 */
export const SHORT_TICK_MS = 40;

/**
 * Longest time between two ticks. Reads of the source are staggered by 250 ms, and
 * what else has no due time here lasts for longer, so it needs no finer one.
 */
export const LONG_TICK_MS = 120;

/**
 * Gets the time of the next tick: the earliest deadline or hedge of a call, or the
 * earliest further action that has a due time.
 * @param state - This proxy's state.
 * @param at - Now, in milliseconds.
 * @returns A time after now, by at most {@link LONG_TICK_MS}.
 */
export function getNextDueAt(state: MeshState, at: number): number {
  const latest = at + LONG_TICK_MS;
  const recheckAt = at + SHORT_TICK_MS;
  if (needsShortTicks(state)) {
    return recheckAt;
  }
  let earliest = latest;
  const add = (dueAt: number) => {
    earliest = Math.min(earliest, dueAt > at ? dueAt : recheckAt);
  };
  for (const call of state.calls.values()) {
    add(call.deadlineAt);
    add(getHedgeDueAt(state, call) ?? latest);
  }
  const {configFreshness, sourceReads, health} = state;
  add(configFreshness.announceAt ?? latest);
  if (sourceReads.configNotBefore > at) {
    add(sourceReads.configNotBefore);
  }
  if (health.down && !health.probing) {
    add(health.probedAt + PROBE_INTERVAL_MS);
  }
  if (health.recheckAt !== undefined && !health.probing) {
    add(health.recheckAt);
  }
  return earliest;
}

/**
 * Reports whether ticks must come at the short interval: a proxy that is not ready may
 * turn callers away, so its reads are urgent; the turn of waiting attempts depends on
 * estimates, limits and the state of the upstream.
 */
function needsShortTicks(state: MeshState): boolean {
  return !isReady(state) || state.work.queue.length > 0;
}
