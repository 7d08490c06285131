/**
 * Admission control for one upstream. At most as many requests run as there are
 * slots; others are queued if they can still finish before their deadline, and
 * refused at once if not.
 */
import {createRefusal, Refusal} from '../refusals.js';
import {Policy} from '../policy.js';
import {Attempt} from '../../model/peer.js';

/** Weight of one sample in the moving average of service times. */
const SERVICE_TIME_WEIGHT = 0.1;

/**
 * Samples are capped at this multiple of the average. A cold start takes many
 * times as long and does not predict the requests that follow.
 */
const MAX_SAMPLE_FACTOR = 4;

/** Service time assumed before the first answer, in milliseconds. */
const INITIAL_SERVICE_TIME_MS = 5;

const MIN_RETRY_AFTER_MS = 10;

/** Least time left with which a request is dispatched, in milliseconds. */
const MIN_REMAINING_MS = 1;

/** An attempt that is queued or running. */
export interface AdmittedAttempt {
  readonly attempt: Attempt;
  readonly deadlineAt: number;
  /** Time of arrival, in Unix milliseconds. */
  readonly arrivedAt: number;
  startedAt?: number;
  /** Number of its dispatch in this process, counted from 1. */
  dispatchNumber?: number;
  /** Suspected of crashing an upstream, so no other suspect may run with it. */
  readonly suspect: boolean;
}

/** Running and queued attempts of one upstream. */
export interface Admission {
  readonly running: Map<string, AdmittedAttempt>;
  /** In the order of arrival. */
  readonly queue: AdmittedAttempt[];
  serviceTimeMs: number;
  dispatchCount: number;
  /**
   * Time of the upstream's first answer since its start or its last crash, in
   * Unix milliseconds.
   */
  upSince?: number;
}

export interface AdmissionLimits {
  readonly slots: number;
  readonly queue: number;
  readonly slowStartMs: number;
}

/** Result of queueing an attempt; empty if it was queued. */
export interface EnqueueResult {
  /** Set if the attempt was refused. */
  readonly refusal?: Refusal;
  /** The less urgent attempt that it replaced in the queue. */
  readonly displaced?: AdmittedAttempt;
}

/**
 * How the duration of a run counts as a sample of the service time.
 * `answered`: the run was complete, so its duration is a sample.
 * `cut`: the run was interrupted, so its duration is a lower bound.
 * `nothing`: the run ended early and its duration is not a sample.
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
 * Gets the number of slots that may be in use now. It grows from one to all of
 * them while an upstream warms up.
 * @param admission - The admission state.
 * @param limits - The service's limits.
 * @param at - Now, in Unix milliseconds.
 * @returns A number from 1 to the configured slots.
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
 * Queues an attempt, or refuses it if it could not finish in time.
 * @param admission - The admission state.
 * @param limits - The service's limits.
 * @param policy - Defines the order of the queue.
 * @param admitted - The attempt.
 * @param at - Now, in Unix milliseconds.
 * @returns Whether it was refused, and which attempt it replaced.
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
    // Only a run can correct the estimate, so a free slot accepts every attempt
    // that has time left.
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

/** Finds the last attempt of the queue if it has a lower priority. */
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

/** Estimates the wait for running attempts and for those ahead in the queue. */
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

/** Reports whether a suspect must wait because another suspect runs. */
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
 * Removes the next attempt that may run now from the queue.
 * @param admission - The admission state.
 * @param limits - The service's limits.
 * @param policy - Defines the order of the queue.
 * @param at - Now, in Unix milliseconds.
 * @returns The attempt, which now counts as running, or undefined.
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
 * Frees the slot of an attempt and updates the estimated service time.
 * @param admission - The admission state.
 * @param attemptId - The attempt.
 * @param sample - How its duration counts.
 * @param at - Now, in Unix milliseconds.
 * @returns The attempt, or undefined if it was not running.
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
 * Removes an attempt from the queue.
 * @param admission - The admission state.
 * @param attemptId - The attempt.
 * @returns The attempt, or undefined if it was not queued.
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
 * Removes the queued attempts that have waited and can no longer finish in
 * time. If nothing runs, the estimate may be wrong, so the attempt with the
 * latest deadline stays unless that deadline has passed.
 * @param admission - The admission state.
 * @param policy - Whether requests that cannot finish in time are refused.
 * @param at - Now, in Unix milliseconds.
 * @returns The removed attempts, which the caller must refuse.
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
