/**
 * Slots and queue of one upstream. Each free slot goes to the most urgent route
 * and, among equals, to an attempt that can still meet its aim (target latency).
 */
import {MeshAttempt} from '../../model/mesh.js';
import {isCallerPresent} from './caller_presence.js';
import {
  ColdLimit,
  createColdLimit,
  getColdDelayMs,
  recordDispatch,
} from './cold_limit.js';
import {FinishErrors, createFinishErrors} from './finish_errors.js';
import {
  RateLimit,
  createRateLimit,
  getRateDelayMs,
  spendRateToken,
} from './rate_limit.js';
import {NestedRoom, createNestedRoom, getUsableSlots} from './nested_room.js';
import {ServiceClaim, compareClaims} from './service_order.js';
import {ServedShares, recordServed} from './served_shares.js';
import {
  RunEstimates,
  estimateRunMs,
  getStuckThresholdMs,
} from './run_estimates.js';

export interface QueuedAttempt {
  readonly attempt: MeshAttempt;
  readonly arrivedAt: number;
  readonly aimAt: number;
  readonly deadlineAt: number;
  /** When its caller was last known to be there; `Infinity`: it still is. */
  callerSeenAt: number;
  /** This request was running at a crash; only one suspect runs at a time. */
  readonly suspect: boolean;
  /** Its route is served so rarely that it counts as one of the most urgent. */
  starved?: boolean;
  /** When it was expected to end, on arrival. */
  expectedEndAt?: number;
}

export interface RunningAttempt extends QueuedAttempt {
  readonly startedAt: number;
}

export interface WorkQueue {
  readonly running: Map<string, RunningAttempt>;
  /** Waiting attempts, in order of arrival. */
  readonly queue: QueuedAttempt[];
  readonly finishErrors: FinishErrors;
  /** Rate at which the upstream lets runs start. */
  readonly limit: RateLimit;
  /** Bound on its requests while it is cold. */
  readonly cold: ColdLimit;
  readonly nestedRoom: NestedRoom;
  /** Undefined: the least urgent route is guaranteed nothing. */
  readonly servedShares?: ServedShares;
}

/**
 * Creates an empty queue.
 * @param guaranteesShare - The least urgent route is served a part of what it asks.
 */
export function createWorkQueue(guaranteesShare = false): WorkQueue {
  return {
    running: new Map(),
    queue: [],
    finishErrors: createFinishErrors(),
    limit: createRateLimit(),
    cold: createColdLimit(),
    nestedRoom: createNestedRoom(),
    servedShares: guaranteesShare ? new Map() : undefined,
  };
}

/** Reports whether the first of two waiting attempts runs before the second. */
export function hasPrecedence(
  first: QueuedAttempt,
  second: QueuedAttempt,
  estimates: RunEstimates,
  at: number,
): boolean {
  return (
    compareClaims(
      createClaim(first, estimates, at),
      createClaim(second, estimates, at),
    ) < 0
  );
}

function createClaim(
  queued: QueuedAttempt,
  estimates: RunEstimates,
  at: number,
): ServiceClaim {
  return {
    priority: queued.starved === true ? 0 : queued.attempt.priority,
    nested: queued.attempt.nested === true,
    missesAim: willMissAim(queued, estimates, at),
    turnAt: getTurnTime(queued),
  };
}

/**
 * Gets the time by which attempts that can meet their aim are ordered. The time
 * that a returning caller has spent before gives it no precedence: it would take
 * the slots of callers that have not been refused yet, and make them late.
 */
function getTurnTime({attempt, arrivedAt}: QueuedAttempt): number {
  return arrivedAt + attempt.routeAimMs;
}

/** Reports whether an attempt would miss its aim even if it ran at once. */
export function willMissAim(
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
 * Returns the time until the upstream's limits allow a request to start: the one
 * that it names, and the one while it is cold.
 * @param work - The running and waiting attempts.
 * @param ahead - Number of requests that start before it.
 * @param at - Now, in milliseconds.
 * @returns Milliseconds; 0 if there is no limit.
 */
export function getStartDelayMs(
  {limit, cold}: WorkQueue,
  ahead: number,
  at: number,
): number {
  return Math.max(
    getRateDelayMs(limit, ahead, at),
    getColdDelayMs(cold, ahead, at),
  );
}

/**
 * Estimates how long the upstream's limits make an attempt wait, which is in the
 * queue or is about to be added to it.
 */
export function estimateStartDelayMs(
  work: WorkQueue,
  estimates: RunEstimates,
  attempt: QueuedAttempt,
  at: number,
): number {
  const {limit, cold, queue} = work;
  if (limit.perSecond === undefined && cold.bound === undefined) {
    return 0;
  }
  const index = queue.indexOf(attempt);
  const position = index < 0 ? queue.length : index;
  const ahead = queue.filter(
    (other, n) =>
      hasPrecedence(other, attempt, estimates, at) ||
      (n < position && !hasPrecedence(attempt, other, estimates, at)),
  );
  return getStartDelayMs(work, ahead.length, at);
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
  const {attempt} = arriving;
  const used = countUsedSlots(work, estimates, at);
  const usable = getUsableSlots(work.nestedRoom, attempt, slots, at);
  if (used + ahead.length < usable) {
    return 0;
  }
  return estimateTurnMs(work, ahead, estimates, usable);
}

/** Estimates the time until all waiting attempts have started. */
export function estimateDrainMs(
  work: WorkQueue,
  estimates: RunEstimates,
  slots: number,
  at: number,
): number {
  const {queue} = work;
  const rateMs = getStartDelayMs(work, queue.length, at);
  return Math.max(rateMs, estimateTurnMs(work, queue, estimates, slots));
}

/** Estimates the time until a slot is free behind some waiting attempts. */
function estimateTurnMs(
  work: WorkQueue,
  ahead: readonly QueuedAttempt[],
  estimates: RunEstimates,
  slots: number,
): number {
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
  const isHeldByLimit = getStartDelayMs(work, 0, at) > 0;
  const used = countUsedSlots(work, estimates, at);
  if (isHeldByLimit || used >= slots) {
    return undefined;
  }
  const suspectIsRunning = [...work.running.values()].some(
    ({suspect}) => suspect,
  );
  let next: QueuedAttempt | undefined;
  for (const other of work.queue) {
    const usable = getUsableSlots(work.nestedRoom, other.attempt, slots, at);
    const blocked =
      (other.suspect && suspectIsRunning) ||
      used >= usable ||
      !isCallerPresent(other, at);
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
  spendRateToken(work.limit);
  recordDispatch(work.cold, at);
  if (next.attempt.nested !== true && work.servedShares !== undefined) {
    recordServed(work.servedShares, next.attempt.priority);
  }
  return running;
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
