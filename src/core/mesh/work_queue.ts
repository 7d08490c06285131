/**
 * Slots and queue of one upstream, designed for overload. Each free slot goes
 * to the most urgent route and, among equals, to an attempt that can still meet
 * its aim (target latency). An attempt that cannot be served is refused on
 * arrival, because time spent in a queue before a refusal is lost.
 */
import {MeshAttempt} from '../../model/mesh.js';
import {
  RunEstimates,
  estimateRunMs,
  getStuckThresholdMs,
} from './run_estimates.js';

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

/** Bounds of the retry delay advised to callers, in milliseconds. */
const MIN_RETRY_AFTER_MS = 60;
const MAX_RETRY_AFTER_MS = 2_000;

export interface QueuedAttempt {
  readonly attempt: MeshAttempt;
  readonly arrivedAt: number;
  readonly aimAt: number;
  readonly deadlineAt: number;
  /** This request was running at a crash; only one suspect runs at a time. */
  readonly suspect: boolean;
}

export interface RunningAttempt extends QueuedAttempt {
  readonly startedAt: number;
}

export interface WorkQueue {
  readonly running: Map<string, RunningAttempt>;
  /** Waiting attempts, in order of arrival. */
  readonly queue: QueuedAttempt[];
}

export function createWorkQueue(): WorkQueue {
  return {running: new Map(), queue: []};
}

/**
 * Reports whether the first of two waiting attempts runs before the second. The
 * order is by priority of the route, then attempts that another run waits for,
 * then attempts that can still meet their aim, then by the earlier aim.
 */
export function hasPrecedence(
  first: QueuedAttempt,
  second: QueuedAttempt,
  estimates: RunEstimates,
  at: number,
): boolean {
  if (first.attempt.priority !== second.attempt.priority) {
    return first.attempt.priority < second.attempt.priority;
  }
  const isFirstNested = first.attempt.nested === true;
  if (isFirstNested !== (second.attempt.nested === true)) {
    return isFirstNested;
  }
  const willFirstMissAim = willMissAim(first, estimates, at);
  if (willFirstMissAim !== willMissAim(second, estimates, at)) {
    return !willFirstMissAim;
  }
  return first.aimAt < second.aimAt;
}

function willMissAim(
  {attempt, aimAt}: QueuedAttempt,
  estimates: RunEstimates,
  at: number,
): boolean {
  return at + estimateRunMs(estimates, attempt) > aimAt;
}

/**
 * Counts the slots in use. Stuck runs are not counted: their answer is presumed
 * lost and their slot free.
 * @param work - The running and waiting attempts.
 * @param estimates - The upstream's estimates.
 * @param at - Now, in milliseconds.
 * @returns Slots in use.
 */
export function countUsedSlots(
  work: WorkQueue,
  estimates: RunEstimates,
  at: number,
): number {
  let used = 0;
  for (const {attempt, startedAt} of work.running.values()) {
    if (at - startedAt <= getStuckThresholdMs(estimates, attempt)) {
      used += 1;
    }
  }
  return used;
}

/**
 * Estimates how long an attempt waits for a slot, given the running attempts
 * and those that have precedence over it.
 */
export function estimateWaitMs(
  work: WorkQueue,
  estimates: RunEstimates,
  slots: number,
  arriving: QueuedAttempt,
  at: number,
): number {
  const ahead = work.queue.filter(
    other =>
      other !== arriving && !hasPrecedence(arriving, other, estimates, at),
  );
  const used = countUsedSlots(work, estimates, at);
  if (used + ahead.length < slots) {
    return 0;
  }
  const aheadMs = ahead.reduce(
    (sum, {attempt}) => sum + estimateRunMs(estimates, attempt),
    0,
  );
  return (aheadMs + estimateMeanRunMs(work, estimates)) / slots;
}

/**
 * Estimates the mean run time of the running attempts. On average, one slot
 * becomes free per this time divided by the number of slots.
 */
function estimateMeanRunMs(work: WorkQueue, estimates: RunEstimates): number {
  let sum = 0;
  for (const {attempt} of work.running.values()) {
    sum += estimateRunMs(estimates, attempt);
  }
  return sum / Math.max(1, work.running.size);
}

/** Why an attempt was not queued, and the retry delay to advise. */
export interface QueueRefusal {
  readonly reason: 'queue_full' | 'deadline_too_short';
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
  const {routeAimMs} = arriving.attempt;
  const waitMs = estimateWaitMs(work, estimates, slots, arriving, at);
  const runMs = estimateRunMs(estimates, arriving.attempt);
  const retryAfterMs = clampRetryAfterMs(waitMs);
  if (at + waitMs + runMs * MIN_RUN_SHARE > arriving.deadlineAt) {
    return {reason: 'deadline_too_short', retryAfterMs};
  }
  const meetsAim = at + waitMs + runMs <= arriving.aimAt;
  if (!meetsAim && waitMs > routeAimMs * MAX_LATE_WAIT_SHARE) {
    return {reason: 'queue_full', retryAfterMs};
  }
  work.queue.push(arriving);
  return undefined;
}

/** Limits an estimated wait to the bounds of an advised retry delay. */
export function clampRetryAfterMs(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}

/**
 * Moves the next attempt that may run from the queue to a free slot.
 * @param work - The running and waiting attempts.
 * @param estimates - The upstream's estimates.
 * @param slots - The upstream's slots.
 * @param at - Now, in milliseconds.
 * @returns The started attempt, or undefined if none may start.
 */
export function tryStartNext(
  work: WorkQueue,
  estimates: RunEstimates,
  slots: number,
  at: number,
): RunningAttempt | undefined {
  if (countUsedSlots(work, estimates, at) >= slots) {
    return undefined;
  }
  const suspectIsRunning = [...work.running.values()].some(
    ({suspect}) => suspect,
  );
  let next: QueuedAttempt | undefined;
  for (const other of work.queue) {
    const blocked = other.suspect && suspectIsRunning;
    if (
      !blocked &&
      (next === undefined || hasPrecedence(other, next, estimates, at))
    ) {
      next = other;
    }
  }
  if (next === undefined) {
    return undefined;
  }
  work.queue.splice(work.queue.indexOf(next), 1);
  const running = {...next, startedAt: at};
  work.running.set(next.attempt.attemptId, running);
  return running;
}

/**
 * Removes waiting attempts that can no longer finish before their deadline.
 * While other waiting attempts can meet their aim, also removes those that
 * cannot: they would be passed over until their deadline, although another
 * upstream may have a free slot.
 * @param work - The running and waiting attempts.
 * @param estimates - The upstream's estimates.
 * @param at - Now, in milliseconds.
 * @returns The removed attempts, which the caller must refuse.
 */
export function removeUnservable(
  work: WorkQueue,
  estimates: RunEstimates,
  at: number,
): QueuedAttempt[] {
  const someMeetAim = work.queue.some(
    other => !willMissAim(other, estimates, at),
  );
  const unservable = work.queue.filter(other => {
    const runMs = estimateRunMs(estimates, other.attempt);
    const yieldsToOthers = someMeetAim && willMissAim(other, estimates, at);
    return yieldsToOthers || at + runMs * MIN_RUN_SHARE > other.deadlineAt;
  });
  for (const other of unservable) {
    work.queue.splice(work.queue.indexOf(other), 1);
  }
  return unservable;
}

/** Removes an attempt from the queue and returns it, if it was waiting. */
export function removeWaiting(
  work: WorkQueue,
  attemptId: string,
): QueuedAttempt | undefined {
  const index = work.queue.findIndex(
    ({attempt}) => attempt.attemptId === attemptId,
  );
  return index < 0 ? undefined : work.queue.splice(index, 1)[0];
}
