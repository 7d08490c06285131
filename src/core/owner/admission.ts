/**
 * Slots and queue of one upstream: runs at most its slots, lets wait what can
 * still finish before its deadline, and refuses the rest at once.
 */
import {createRefusal, Refusal} from '../refusals.js';
import {Policy} from '../policy.js';
import {Attempt} from '../../model/peer.js';

/** Weight of one sample in the moving average of service times. */
const SERVICE_TIME_WEIGHT = 0.1;

/**
 * Most by which one sample may exceed the average. A cold start takes many
 * times longer and says nothing of the next requests.
 */
const MAX_SAMPLE_FACTOR = 4;

/** Service time assumed before the first answer, in milliseconds. */
const INITIAL_SERVICE_TIME_MS = 5;

const MIN_RETRY_AFTER_MS = 10;

/** Time left with which a request is still worth a try, in milliseconds. */
const MIN_REMAINING_MS = 1;

export interface AdmittedAttempt {
  readonly attempt: Attempt;
  readonly deadlineAt: number;
  /** When it came, in Unix milliseconds. */
  readonly arrivedAt: number;
  startedAt?: number;
  /** Counts the dispatches of this process, from 1. */
  dispatchNumber?: number;
  /** Suspected of crashing an upstream, so it runs alone among suspects. */
  readonly suspect: boolean;
}

export interface Admission {
  readonly running: Map<string, AdmittedAttempt>;
  /** In the order of arrival. */
  readonly queue: AdmittedAttempt[];
  serviceTimeMs: number;
  dispatchCount: number;
  /** When the upstream first answered after its start or a crash. */
  upSince?: number;
}

export interface AdmissionLimits {
  readonly slots: number;
  readonly queue: number;
  readonly slowStartMs: number;
}

/** What became of an attempt that asked to be queued. */
export interface EnqueueResult {
  /** It was refused. */
  readonly refusal?: Refusal;
  /** A less urgent one that lost its place to it. */
  readonly displaced?: AdmittedAttempt;
}

/**
 * What the end of a run says of service times. `answered`: it took as long as
 * it took. `cut`: it would have taken longer. `nothing`: it did not run on.
 */
export type ServiceTimeSample = 'answered' | 'cut' | 'nothing';

export function createAdmission(): Admission {
  return {
    running: new Map(),
    queue: [],
    serviceTimeMs: INITIAL_SERVICE_TIME_MS,
    dispatchCount: 0,
  };
}

/**
 * Gets the slots that may be used now; a cold upstream starts with one.
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
  if (slowStartMs === 0) {
    return slots;
  }
  const warmMs = at - (admission.upSince ?? at);
  if (warmMs >= slowStartMs) {
    return slots;
  }
  return Math.max(1, Math.floor((slots * warmMs) / slowStartMs));
}

/**
 * Queues an attempt, or refuses it where it could not finish in time.
 * @param admission - This part's state.
 * @param limits - The service's limits.
 * @param policy - Order of the queue.
 * @param admitted - The attempt.
 * @param at - Now, in Unix milliseconds.
 * @returns What became of it; empty where it was queued.
 */
export function tryEnqueue(
  admission: Admission,
  limits: AdmissionLimits,
  policy: Policy,
  admitted: AdmittedAttempt,
  at: number,
): EnqueueResult {
  const {queue, running, serviceTimeMs} = admission;
  const slots = getUsableSlots(admission, limits, at);
  const waiting = queue.filter(other => !isBlocked(admission, other)).length;
  if (running.size + waiting < slots) {
    // Only running tells whether the estimate is right, so a free slot takes
    // whatever has time left.
    queue.push(admitted);
    return {};
  }
  const waitMs = estimateWaitMs(admission, policy, admitted, slots, at);
  const isLate = at + waitMs + serviceTimeMs > admitted.deadlineAt;
  if (policy.refusesUnmeetableDeadlines && isLate) {
    const retryAfterMs = getRetryAfterMs(waitMs);
    return {refusal: createRefusal('deadline_too_short', retryAfterMs)};
  }
  if (queue.length < limits.queue) {
    queue.push(admitted);
    return {};
  }
  const displaced = findDisplaceable(admission, policy, admitted, at);
  if (displaced === undefined) {
    return {refusal: createRefusal('queue_full', getRetryAfterMs(waitMs))};
  }
  queue.splice(queue.indexOf(displaced), 1, admitted);
  return {displaced};
}

/** The last of the queue, where it is of a lower priority. */
function findDisplaceable(
  admission: Admission,
  policy: Policy,
  admitted: AdmittedAttempt,
  at: number,
): AdmittedAttempt | undefined {
  const {queue, serviceTimeMs} = admission;
  const {queueOrder} = policy;
  let last: AdmittedAttempt | undefined;
  for (const other of queue) {
    if (
      last === undefined ||
      !queueOrder.isBefore(other, last, at, serviceTimeMs)
    ) {
      last = other;
    }
  }
  const isDisplaceable =
    last?.attempt.priority === 'batch' &&
    admitted.attempt.priority === 'interactive' &&
    queueOrder.isBefore(admitted, last, at, serviceTimeMs);
  return isDisplaceable ? last : undefined;
}

/** Estimates the wait behind what runs and what will run earlier. */
function estimateWaitMs(
  admission: Admission,
  policy: Policy,
  admitted: AdmittedAttempt,
  slots: number,
  at: number,
): number {
  const {queue, running, serviceTimeMs} = admission;
  const {queueOrder} = policy;
  const earlier = queue.filter(
    other => !queueOrder.isBefore(admitted, other, at, serviceTimeMs),
  );
  const ahead = earlier.length + running.size - slots + 1;
  return Math.max(0, (ahead * serviceTimeMs) / slots);
}

function getRetryAfterMs(waitMs: number): number {
  return Math.ceil(Math.max(MIN_RETRY_AFTER_MS, waitMs));
}

/** A suspect waits while another one runs. */
function isBlocked(admission: Admission, admitted: AdmittedAttempt): boolean {
  if (!admitted.suspect) {
    return false;
  }
  for (const {suspect} of admission.running.values()) {
    if (suspect) {
      return true;
    }
  }
  return false;
}

/**
 * Takes the next attempt that may run now.
 * @param admission - This part's state.
 * @param limits - The service's limits.
 * @param policy - Order of the queue.
 * @param at - Now, in Unix milliseconds.
 * @returns The attempt, already counted as running, or undefined.
 */
export function tryStartNext(
  admission: Admission,
  limits: AdmissionLimits,
  policy: Policy,
  at: number,
): AdmittedAttempt | undefined {
  const {queue, running, serviceTimeMs} = admission;
  if (
    queue.length === 0 ||
    running.size >= getUsableSlots(admission, limits, at)
  ) {
    return undefined;
  }
  let next: AdmittedAttempt | undefined;
  for (const other of queue) {
    const isFirst =
      next === undefined ||
      policy.queueOrder.isBefore(other, next, at, serviceTimeMs);
    if (isFirst && !isBlocked(admission, other)) {
      next = other;
    }
  }
  if (next === undefined) {
    return undefined;
  }
  queue.splice(queue.indexOf(next), 1);
  admission.dispatchCount += 1;
  next.startedAt = at;
  next.dispatchNumber = admission.dispatchCount;
  running.set(next.attempt.attemptId, next);
  return next;
}

/**
 * Frees the slot of an attempt and learns from its service time.
 * @param admission - This part's state.
 * @param attemptId - The attempt.
 * @param sample - What its end says of service times.
 * @param at - Now, in Unix milliseconds.
 * @returns The attempt, or undefined where it was not running.
 */
export function releaseSlot(
  admission: Admission,
  attemptId: string,
  sample: ServiceTimeSample,
  at: number,
): AdmittedAttempt | undefined {
  const ended = admission.running.get(attemptId);
  if (ended === undefined) {
    return undefined;
  }
  admission.running.delete(attemptId);
  updateServiceTime(admission, at - (ended.startedAt ?? at), sample);
  return ended;
}

function updateServiceTime(
  admission: Admission,
  tookMs: number,
  sample: ServiceTimeSample,
): void {
  const {serviceTimeMs} = admission;
  const isUsable =
    sample === 'answered' || (sample === 'cut' && tookMs > serviceTimeMs);
  if (isUsable) {
    const cappedMs = Math.min(tookMs, serviceTimeMs * MAX_SAMPLE_FACTOR);
    admission.serviceTimeMs += SERVICE_TIME_WEIGHT * (cappedMs - serviceTimeMs);
  }
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
 * Takes out the queued attempts that have waited and can no longer finish in
 * time. While nothing runs the estimate may be wrong, so the one with most
 * time left stays where it has any.
 * @param admission - This part's state.
 * @param policy - Whether late requests are refused.
 * @param at - Now, in Unix milliseconds.
 * @returns The attempts, which must be refused.
 */
export function removeExpired(
  admission: Admission,
  policy: Policy,
  at: number,
): AdmittedAttempt[] {
  const {queue, running, serviceTimeMs} = admission;
  const isOverdue = ({deadlineAt}: AdmittedAttempt) =>
    deadlineAt - at < MIN_REMAINING_MS;
  const isLate = ({deadlineAt, arrivedAt}: AdmittedAttempt) =>
    policy.refusesUnmeetableDeadlines &&
    arrivedAt < at &&
    deadlineAt - at < serviceTimeMs;
  const expired = queue.filter(other => isOverdue(other) || isLate(other));
  if (running.size === 0 && expired.length === queue.length) {
    const kept = getWithLatestDeadline(expired);
    if (kept !== undefined && !isOverdue(kept)) {
      expired.splice(expired.indexOf(kept), 1);
    }
  }
  for (const {attempt} of expired) {
    removeQueued(admission, attempt.attemptId);
  }
  return expired;
}

function getWithLatestDeadline(
  attempts: readonly AdmittedAttempt[],
): AdmittedAttempt | undefined {
  return attempts.reduce<AdmittedAttempt | undefined>(
    (latest, other) =>
      latest === undefined || other.deadlineAt > latest.deadlineAt
        ? other
        : latest,
    undefined,
  );
}
