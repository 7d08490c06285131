/**
 * Bound on the requests that a cold upstream gets in one second. Load pattern: a
 * restart, a replacement or a zone that is taken back makes upstreams cold while all
 * entries want to use them; well above its limit, a cold upstream crashes. All its
 * requests pass through its owner, which counts its dispatches in a sliding window.
 */

/**
 * Length of the window, in milliseconds. The bound holds for the arrivals of any
 * second; the rest covers requests that take up to 200 ms longer than others from
 * the owner to the upstream.
 */
export const COLD_WINDOW_MS = 1_200;

/** Why an upstream counts as cold. */
export type ColdCause =
  | 'registered'
  | 'accepts_again'
  | 'new_start'
  | 'zone_taken_back'
  | 'proxy_started';

/** A registration that a read showed after a sign of a cold upstream. */
export interface SeenRegistration {
  readonly id: string;
  readonly incarnation: number;
  readonly heartbeat: number;
}

/** An event after which the upstream may be cold, whatever its registration says. */
export interface ColdSign {
  readonly cause: ColdCause;
  /** When it was noticed, in milliseconds. */
  readonly at: number;
  /** Reads of the source that were answered since. */
  reads: number;
  /** Later reports of the same process were written after the sign. */
  seen?: SeenRegistration;
}

/** The limit in force. */
export interface ColdBound {
  readonly cause: ColdCause;
  /** Dispatches in each window of {@link COLD_WINDOW_MS}. */
  readonly allowance: number;
  /** When the upstream no longer counts as cold, in milliseconds. */
  readonly until: number;
}

export interface ColdLimit {
  /** The latest sign, unless a later registration says that the upstream is warm. */
  sign?: ColdSign;
  /** Undefined while the upstream is warm or has no limit. */
  bound?: ColdBound;
  /** Until then, the dispatches of an earlier process may fill the window. */
  heldUntil: number;
  /** Times of the dispatches in the window, warm or not, in ascending order. */
  readonly starts: number[];
}

export function createColdLimit(): ColdLimit {
  return {heldUntil: -Infinity, starts: []};
}

function removeExpiredStarts({starts}: ColdLimit, at: number): void {
  while (starts.length > 0 && starts[0] <= at - COLD_WINDOW_MS) {
    starts.shift();
  }
}

/** Counts a request that is dispatched now; it may turn out to be cold already. */
export function recordDispatch(limit: ColdLimit, at: number): void {
  removeExpiredStarts(limit, at);
  limit.starts.push(at);
}

/**
 * Returns the time until the bound allows a request to start.
 * @param limit - The upstream's limit.
 * @param ahead - Number of requests that start before it.
 * @param at - Now, in milliseconds.
 * @returns Milliseconds; 0 if there is no bound.
 */
export function getColdDelayMs(
  limit: ColdLimit,
  ahead: number,
  at: number,
): number {
  const {bound} = limit;
  if (bound === undefined || at >= bound.until) {
    return 0;
  }
  const untilWarmMs = bound.until - at;
  if (bound.allowance === 0) {
    return untilWarmMs;
  }
  removeExpiredStarts(limit, at);
  const startAt = predictStart(limit, bound.allowance, ahead, at);
  return Math.min(untilWarmMs, Math.max(0, startAt - at));
}

/**
 * Predicts when a request starts if those ahead of it start as early as they may:
 * each start follows, by a window, the one that is `allowance` starts earlier.
 */
function predictStart(
  {starts, heldUntil}: ColdLimit,
  allowance: number,
  ahead: number,
  at: number,
): number {
  const firstAt = Math.max(at, heldUntil);
  let index = starts.length + ahead;
  let windows = 0;
  while (index >= Math.max(starts.length, allowance)) {
    index -= allowance;
    windows += 1;
  }
  if (index >= starts.length) {
    return firstAt + windows * COLD_WINDOW_MS;
  }
  const afterPast = Math.max(firstAt, starts[index] + COLD_WINDOW_MS);
  return afterPast + (windows - 1) * COLD_WINDOW_MS;
}

/** Gets the requests per second that the bound allows, for load reports. */
export function getColdRate({allowance}: ColdBound): number {
  return (allowance * 1_000) / COLD_WINDOW_MS;
}
