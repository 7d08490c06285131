/**
 * Slots and queue of one upstream: runs at most its slots, lets wait what can
 * still finish before its deadline, and refuses the rest at once.
 */
import {createRefusal, Refusal} from '../refusals.js';
import {Attempt} from '../../model/peer.js';

/** Weight of one sample in the moving average of service times. */
const SERVICE_TIME_WEIGHT = 0.1;

/** Service time assumed before the first answer, in milliseconds. */
const INITIAL_SERVICE_TIME_MS = 5;

const MIN_RETRY_AFTER_MS = 10;

export interface AdmittedAttempt {
  readonly attempt: Attempt;
  readonly deadlineAt: number;
  startedAt?: number;
  /** Suspected of crashing an upstream, so it runs alone among suspects. */
  readonly suspect: boolean;
}

export interface Admission {
  readonly running: Map<string, AdmittedAttempt>;
  /** In the order in which they will run. */
  readonly queue: AdmittedAttempt[];
  serviceTimeMs: number;
  /** When the upstream was first seen up after being down. */
  upSince?: number;
}

export interface AdmissionLimits {
  readonly slots: number;
  readonly queue: number;
  readonly slowStartMs: number;
}

export function createAdmission(): Admission {
  return {
    running: new Map(),
    queue: [],
    serviceTimeMs: INITIAL_SERVICE_TIME_MS,
  };
}

/**
 * Gets the slots that may be used now; a cold upstream starts with a few.
 * @param admission - This part's state.
 * @param limits - The service's limits.
 * @param at - Now, in Unix milliseconds.
 * @returns Between 1 and the configured slots.
 */
export function getUsableSlots(
  admission: Admission,
  limits: AdmissionLimits,
  at: number,
): number {
  const {slots, slowStartMs} = limits;
  const warmMs = at - (admission.upSince ?? 0);
  if (slowStartMs === 0 || warmMs >= slowStartMs) {
    return slots;
  }
  return Math.max(1, Math.floor((slots * warmMs) / slowStartMs));
}

/**
 * Queues an attempt, or refuses it where it could not finish in time.
 * @param admission - This part's state.
 * @param limits - The service's limits.
 * @param admitted - The attempt.
 * @param at - Now, in Unix milliseconds.
 * @returns The refusal, or undefined where the attempt was queued.
 */
export function tryEnqueue(
  admission: Admission,
  limits: AdmissionLimits,
  admitted: AdmittedAttempt,
  at: number,
): Refusal | undefined {
  const slots = getUsableSlots(admission, limits, at);
  const waitMs = estimateWaitMs(admission, slots);
  const free = admission.running.size < slots && admission.queue.length === 0;
  if (!free && admission.queue.length >= limits.queue) {
    return createRefusal('queue_full', getRetryAfterMs(waitMs));
  }
  if (at + waitMs + admission.serviceTimeMs > admitted.deadlineAt) {
    return createRefusal('deadline_too_short', getRetryAfterMs(waitMs));
  }
  insertByUrgency(admission.queue, admitted);
  return undefined;
}

function estimateWaitMs(admission: Admission, slots: number): number {
  const ahead = admission.queue.length + admission.running.size - slots + 1;
  return Math.max(0, (ahead * admission.serviceTimeMs) / slots);
}

function getRetryAfterMs(waitMs: number): number {
  return Math.ceil(Math.max(MIN_RETRY_AFTER_MS, waitMs));
}

/** Interactive before batch, then by deadline. */
function insertByUrgency(
  queue: AdmittedAttempt[],
  admitted: AdmittedAttempt,
): void {
  let index = queue.length;
  while (index > 0 && isMoreUrgent(admitted, queue[index - 1])) {
    index -= 1;
  }
  queue.splice(index, 0, admitted);
}

function isMoreUrgent(a: AdmittedAttempt, b: AdmittedAttempt): boolean {
  if (a.attempt.priority !== b.attempt.priority) {
    return a.attempt.priority === 'interactive';
  }
  return a.deadlineAt < b.deadlineAt;
}

/**
 * Takes the next attempt that may run now.
 * @param admission - This part's state.
 * @param limits - The service's limits.
 * @param at - Now, in Unix milliseconds.
 * @returns The attempt, already counted as running, or undefined.
 */
export function tryStartNext(
  admission: Admission,
  limits: AdmissionLimits,
  at: number,
): AdmittedAttempt | undefined {
  if (admission.running.size >= getUsableSlots(admission, limits, at)) {
    return undefined;
  }
  const suspectRuns = [...admission.running.values()].some(a => a.suspect);
  const index = admission.queue.findIndex(a => !(a.suspect && suspectRuns));
  if (index < 0) {
    return undefined;
  }
  const [next] = admission.queue.splice(index, 1);
  next.startedAt = at;
  admission.running.set(next.attempt.attemptId, next);
  return next;
}

/**
 * Frees the slot of an attempt and learns from its service time.
 * @param admission - This part's state.
 * @param attemptId - The attempt.
 * @param at - Now, in Unix milliseconds.
 * @returns The attempt, or undefined where it was not running.
 */
export function endRunning(
  admission: Admission,
  attemptId: string,
  at: number,
): AdmittedAttempt | undefined {
  const ended = admission.running.get(attemptId);
  if (ended === undefined) {
    return undefined;
  }
  admission.running.delete(attemptId);
  const sample = at - (ended.startedAt ?? at);
  admission.serviceTimeMs +=
    SERVICE_TIME_WEIGHT * (sample - admission.serviceTimeMs);
  return ended;
}

/**
 * Takes an attempt out of the queue.
 * @param admission - This part's state.
 * @param attemptId - The attempt.
 * @returns The attempt, or undefined where it was not queued.
 */
export function removeQueued(
  admission: Admission,
  attemptId: string,
): AdmittedAttempt | undefined {
  const index = admission.queue.findIndex(
    ({attempt}) => attempt.attemptId === attemptId,
  );
  return index < 0 ? undefined : admission.queue.splice(index, 1)[0];
}

/**
 * Takes out the queued attempts whose deadline has passed.
 * @param admission - This part's state.
 * @param at - Now, in Unix milliseconds.
 * @returns The attempts, which must be refused.
 */
export function removeExpired(
  admission: Admission,
  at: number,
): AdmittedAttempt[] {
  const expired = admission.queue.filter(({deadlineAt}) => deadlineAt - at < 1);
  for (const {attempt} of expired) {
    removeQueued(admission, attempt.attemptId);
  }
  return expired;
}
