/**
 * Admits attempts to the queue of one upstream, or refuses them. Load pattern:
 * demand above capacity for seconds, with callers that return after a refusal.
 * An attempt that cannot be served is refused on arrival, because time spent in
 * a queue before a refusal is lost. Callers that ask for the first time and can be
 * answered in time come first; one that has returned gets what they leave.
 */
import {getFinishMarginMs} from './finish_errors.js';
import {keepSlot} from './nested_room.js';
import {RunEstimates, estimateRunMs} from './run_estimates.js';
import {isStarved, recordAsked} from './served_shares.js';
import {
  QueuedAttempt,
  WorkQueue,
  countUsedSlots,
  estimateDrainMs,
  estimateStartDelayMs,
  estimateWaitMs,
  willMissAim,
} from './work_queue.js';

/**
 * Longest wait of an attempt that will miss its aim, as a share of its route's
 * aim. A refusal after so short a wait costs the caller nothing.
 */
const MAX_LATE_WAIT_SHARE = 0.125;

/**
 * Least share of its estimated run time that an attempt must have left before
 * its deadline. Estimates are means, and half of all runs are shorter.
 */
const MIN_RUN_SHARE = 0.6;

/**
 * Attempts that can meet their aim, as a multiple of the slots. While so many
 * wait, one that cannot would be passed over until its deadline.
 */
const PUNCTUAL_ROUNDS = 0.5;

/**
 * Longest wait for a slot that others leave, as a share of the time until the
 * deadline. A caller that gets none is told while it can still do something else.
 */
const MAX_SPARE_WAIT_SHARE = 0.5;

/**
 * Attempts that may wait although all will miss their aim, as a multiple of the
 * slots. An upstream that is slow, such as after its start, can answer none in
 * time; without a short queue its slots would also be idle between two arrivals.
 */
const BUSY_ROUNDS = 0.5;

/** Share of its aim that a caller has spent if it was refused before. */
const SPENT_AIM_SHARE = 0.1;

/** Bounds of the retry delay advised to callers, in milliseconds. */
const MIN_RETRY_AFTER_MS = 60;
const MAX_RETRY_AFTER_MS = 2_000;

/** Why an attempt was not queued, and the retry delay to advise. */
export interface QueueRefusal {
  readonly reason: 'queue_full' | 'deadline_too_short' | 'rate_limited';
  readonly retryAfterMs: number;
}

/**
 * Queues an attempt, unless it cannot finish before its deadline, or would wait
 * long and still miss its aim.
 * @param work - The running and waiting attempts.
 * @param estimates - The upstream's estimates.
 * @param slots - The upstream's slots.
 * @param arriving - The attempt.
 * @param at - Now, in milliseconds.
 * @returns Why it was refused, or undefined if it was queued.
 */
export function tryEnqueue(
  work: WorkQueue,
  estimates: RunEstimates,
  slots: number,
  arriving: QueuedAttempt,
  at: number,
): QueueRefusal | undefined {
  const {priority, nested, slotWanted} = arriving.attempt;
  const {nestedRoom, servedShares} = work;
  if (nested !== true && servedShares !== undefined) {
    recordAsked(servedShares, priority);
    arriving.starved = isStarved(servedShares, priority);
  }
  if (slotWanted === true && countUsedSlots(work, estimates, at) >= slots) {
    keepSlot(nestedRoom, at);
  }
  const forecast = forecastAttempt(work, estimates, slots, arriving, at);
  if (forecast.refusal === undefined) {
    arriving.expectedEndAt = forecast.endAt;
    work.queue.push(arriving);
  }
  return forecast.refusal;
}

/** What would become of an attempt in a queue. */
export interface Forecast {
  /** When it would end, in milliseconds. */
  readonly endAt: number;
  /** Time until a slot is free, and that of its run, in milliseconds. */
  readonly slotWaitMs: number;
  readonly runMs: number;
  /** Why it is not to be queued, if so. */
  readonly refusal?: QueueRefusal;
}

/**
 * Estimates when an attempt would end, and decides whether it is to be queued.
 * @param work - The running and waiting attempts.
 * @param estimates - The upstream's estimates.
 * @param slots - The upstream's slots.
 * @param arriving - The attempt.
 * @param at - Now, in milliseconds.
 * @param arrivalMs - Time until its body has arrived, in milliseconds.
 */
export function forecastAttempt(
  work: WorkQueue,
  estimates: RunEstimates,
  slots: number,
  arriving: QueuedAttempt,
  at: number,
  arrivalMs = 0,
): Forecast {
  const {routeAimMs} = arriving.attempt;
  const slotWaitMs = estimateWaitMs(work, estimates, slots, arriving, at);
  const rateDelayMs = estimateStartDelayMs(work, estimates, arriving, at);
  const isRateLimited = rateDelayMs > slotWaitMs;
  const waitMs = Math.max(slotWaitMs, rateDelayMs);
  const runMs = estimateRunMs(estimates, arriving.attempt);
  const retryAfterMs = clampRetryAfterMs(waitMs);
  const startMs = Math.max(waitMs, arrivalMs);
  const endAt = at + startMs + runMs;
  const times = {endAt, slotWaitMs, runMs};
  if (at + startMs + runMs * MIN_RUN_SHARE > arriving.deadlineAt) {
    const reason = isRateLimited ? 'rate_limited' : 'deadline_too_short';
    return {...times, refusal: {reason, retryAfterMs}};
  }
  const marginMs = getFinishMarginMs(work.finishErrors, routeAimMs);
  const meetsAim = endAt + marginMs <= arriving.aimAt;
  const punctual = countPunctual(work, estimates, at);
  const keepsSlotsBusy =
    punctual === 0 && work.queue.length < slots * BUSY_ROUNDS;
  // Where the rate limit makes it wait, no slot would be idle without it.
  const mayWaitLate =
    !isRateLimited &&
    (keepsSlotsBusy || mayWaitForSpareSlot(arriving, punctual, slots, at));
  const waitAfterArrivalMs = startMs - arrivalMs;
  if (
    !meetsAim &&
    !mayWaitLate &&
    waitAfterArrivalMs > routeAimMs * MAX_LATE_WAIT_SHARE
  ) {
    const reason = isRateLimited ? 'rate_limited' : 'queue_full';
    return {...times, refusal: {reason, retryAfterMs}};
  }
  return times;
}

/**
 * Reports whether an attempt that misses its aim may wait for a slot that others
 * leave. Only one whose caller has returned may: a late answer is the best that
 * it can still get, while others can ask another upstream or return.
 */
function mayWaitForSpareSlot(
  {attempt, arrivedAt, deadlineAt}: QueuedAttempt,
  punctual: number,
  slots: number,
  at: number,
): boolean {
  const {aimMs, routeAimMs} = attempt;
  return (
    aimMs < routeAimMs * (1 - SPENT_AIM_SHARE) &&
    at - arrivedAt <= (deadlineAt - arrivedAt) * MAX_SPARE_WAIT_SHARE &&
    punctual < slots * PUNCTUAL_ROUNDS
  );
}

/** Counts the waiting attempts that can still meet their aim. */
function countPunctual(
  {queue}: WorkQueue,
  estimates: RunEstimates,
  at: number,
): number {
  return queue.filter(other => !willMissAim(other, estimates, at)).length;
}

/** A waiting attempt that was removed, and why. */
export interface UnservableAttempt {
  readonly queued: QueuedAttempt;
  readonly reason: QueueRefusal['reason'];
}

/**
 * Removes waiting attempts that can no longer finish before their deadline.
 * While enough other waiting attempts can meet their aim, also removes those
 * that cannot: they would be passed over until their deadline, although another
 * upstream may have a free slot.
 * @param work - The running and waiting attempts.
 * @param estimates - The upstream's estimates.
 * @param slots - The upstream's slots.
 * @param at - Now, in milliseconds.
 * @returns The removed attempts and their refusals.
 */
export function removeUnservable(
  work: WorkQueue,
  estimates: RunEstimates,
  slots: number,
  at: number,
): UnservableAttempt[] {
  const punctual = countPunctual(work, estimates, at);
  const unservable: UnservableAttempt[] = [];
  for (const queued of [...work.queue]) {
    const runMs = estimateRunMs(estimates, queued.attempt);
    const yieldsToOthers =
      punctual > 0 &&
      willMissAim(queued, estimates, at) &&
      !mayWaitForSpareSlot(queued, punctual, slots, at);
    let reason: QueueRefusal['reason'];
    if (at + runMs * MIN_RUN_SHARE > queued.deadlineAt) {
      reason = 'deadline_too_short';
    } else if (isHeldTooLong(work, estimates, queued, at)) {
      reason = 'rate_limited';
    } else if (yieldsToOthers) {
      reason = 'queue_full';
    } else {
      continue;
    }
    work.queue.splice(work.queue.indexOf(queued), 1);
    unservable.push({queued, reason});
  }
  return unservable;
}

/**
 * Reports whether the upstream's rate limit, which may have been named or lowered
 * after an attempt was queued, makes it wait longer than is worth it.
 */
function isHeldTooLong(
  work: WorkQueue,
  estimates: RunEstimates,
  queued: QueuedAttempt,
  at: number,
): boolean {
  const delayMs = estimateStartDelayMs(work, estimates, queued, at);
  if (delayMs === 0) {
    return false;
  }
  const {attempt, arrivedAt, aimAt} = queued;
  const meetsAim = at + delayMs + estimateRunMs(estimates, attempt) <= aimAt;
  const waitMs = at - arrivedAt + delayMs;
  return !meetsAim && waitMs > attempt.routeAimMs * MAX_LATE_WAIT_SHARE;
}

/** Limits an estimated wait to the bounds of an advised retry delay. */
export function clampRetryAfterMs(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}

/**
 * Gets the retry delay to advise to callers whose attempts are removed: the time
 * in which the queue is worked off.
 */
export function getRetryAfterMs(
  work: WorkQueue,
  estimates: RunEstimates,
  slots: number,
  at: number,
): number {
  return clampRetryAfterMs(estimateDrainMs(work, estimates, slots, at));
}
