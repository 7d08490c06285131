/**
 * A run starts only if its caller was known to be there shortly before. Load pattern:
 * processes with too little processor time, or that stand still, while callers leave. An
 * attempt may then be read long after it was sent, and the cancellation that follows it
 * may be read later, or be lost with a link.
 */
import {QueuedAttempt, WorkQueue} from './work_queue.js';

/**
 * Longest time for which a caller may have left unnoticed when its run starts, in
 * milliseconds. The users' bound is 500 ms; the rest is for what the measurement misses
 * between two ticks.
 */
export const MAX_UNCONFIRMED_MS = 300;

/** Age of the last sign of a waiting attempt's caller at which its entry is asked. */
export const ASK_AFTER_MS = 120;

/** By attempt: the longest time for which its caller may have left unnoticed. */
export type UnconfirmedTimes = ReadonlyMap<string, number>;

/**
 * Reports whether an attempt may start as far as its caller is concerned.
 * @param queued - The attempt.
 * @param at - Now, in milliseconds.
 */
export function isCallerPresent(
  {callerSeenAt}: QueuedAttempt,
  at: number,
): boolean {
  return at - callerSeenAt <= MAX_UNCONFIRMED_MS;
}

/** Finds the waiting attempts whose entries are to be asked for their callers. */
export function findUnconfirmed(
  {queue}: WorkQueue,
  at: number,
): readonly string[] {
  return queue
    .filter(({callerSeenAt}) => at - callerSeenAt > ASK_AFTER_MS)
    .map(({attempt}) => attempt.attemptId);
}

/**
 * Records until when the callers of waiting attempts are known to have been there.
 * @param work - The running and waiting attempts.
 * @param times - What the entries have confirmed.
 * @param at - Now, in milliseconds.
 */
export function confirmCallers(
  {queue}: WorkQueue,
  times: UnconfirmedTimes,
  at: number,
): void {
  for (const queued of queue) {
    const ms = times.get(queued.attempt.attemptId);
    if (ms !== undefined) {
      queued.callerSeenAt = Math.max(queued.callerSeenAt, at - ms);
    }
  }
}
