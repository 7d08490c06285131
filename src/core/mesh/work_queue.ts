/**
 * Slots and queue of one upstream. The load it answers: callers ask for more
 * than all slots can run. Then each slot goes to the most urgent route, among
 * equals to what can still meet its aim, and what cannot be served is refused
 * when it arrives, because time in a queue that ends in a refusal is lost.
 */
import {MeshAttempt} from '../../model/mesh.js';
import {
  RunEstimates,
  estimateRunMs,
  getStuckThresholdMs,
} from './run_estimates.js';

/**
 * Share of its aim that a request may wait for a slot although it will miss
 * the aim. A wait this short costs its caller nothing if it is refused.
 */
const MAX_LATE_WAIT_SHARE = 0.125;

/**
 * Share of its estimate that a run must at least have left before its
 * deadline; estimates are means, and half of all runs are shorter.
 */
const MIN_RUN_SHARE = 0.6;

/** Least and most that a caller is told to stay away, in milliseconds. */
const MIN_RETRY_AFTER_MS = 60;
const MAX_RETRY_AFTER_MS = 2_000;

export interface QueuedAttempt {
  readonly attempt: MeshAttempt;
  readonly arrivedAt: number;
  readonly aimAt: number;
  readonly deadlineAt: number;
  /** It ran at an upstream that crashed, so it runs alone among such. */
  readonly suspect: boolean;
}

export interface RunningAttempt extends QueuedAttempt {
  readonly startedAt: number;
}

export interface WorkQueue {
  readonly running: Map<string, RunningAttempt>;
  /** In the order of arrival. */
  readonly queue: QueuedAttempt[];
}

export function createWorkQueue(): WorkQueue {
  return {running: new Map(), queue: []};
}

/**
 * Tells which of two waiting attempts runs first: the more urgent route, then
 * what another run waits for, then what can still meet its aim, then the
 * earlier aim.
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
 * Counts the slots in use. A run whose answer seems lost has left its slot.
 * @param work - This part's state.
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

/** Estimates the wait of an attempt behind what runs and what goes first. */
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

/** Mean time to run of what runs now; a slot frees once in this over slots. */
function estimateMeanRunMs(work: WorkQueue, estimates: RunEstimates): number {
  let sum = 0;
  for (const {attempt} of work.running.values()) {
    sum += estimateRunMs(estimates, attempt);
  }
  return sum / Math.max(1, work.running.size);
}

/** Why an attempt is not queued, with the wait that the caller is told. */
export interface QueueRefusal {
  readonly reason: 'queue_full' | 'deadline_too_short';
  readonly retryAfterMs: number;
}

/**
 * Queues an attempt, or refuses it where its wait would serve nobody.
 * @param work - This part's state.
 * @param estimates - The upstream's estimates.
 * @param slots - The upstream's slots.
 * @param arriving - The attempt.
 * @param at - Now, in milliseconds.
 * @returns The refusal, or undefined where it was queued.
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
  const retryAfterMs = getRetryAfterMs(waitMs);
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

export function getRetryAfterMs(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}

/**
 * Takes the next attempt that may run now.
 * @param work - This part's state.
 * @param estimates - The upstream's estimates.
 * @param slots - The upstream's slots.
 * @param at - Now, in milliseconds.
 * @returns The attempt, counted as running, or undefined.
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
 * Takes out the waiting attempts that can no longer finish in time, and those
 * that can no longer meet their aim while others that can are waiting: such
 * an attempt would be passed over until its deadline, and its caller may find
 * room elsewhere.
 * @param work - This part's state.
 * @param estimates - The upstream's estimates.
 * @param at - Now, in milliseconds.
 * @returns The attempts, which must be refused.
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

export function removeWaiting(
  work: WorkQueue,
  attemptId: string,
): QueuedAttempt | undefined {
  const index = work.queue.findIndex(
    ({attempt}) => attempt.attemptId === attemptId,
  );
  return index < 0 ? undefined : work.queue.splice(index, 1)[0];
}
