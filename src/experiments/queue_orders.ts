/** Orders of an owner's queue that are compared with the one in use. */
import {QueuedRequest, QueueOrder} from '../core/owner/queue_order.js';

/** First in, first out. */
export class ArrivalOrder implements QueueOrder {
  isBefore(): boolean {
    return false;
  }
}

/** Earliest deadline first, regardless of priority. */
export class DeadlineOrder implements QueueOrder {
  isBefore(a: QueuedRequest, b: QueuedRequest): boolean {
    return a.deadlineAt < b.deadlineAt;
  }
}

/** Assumed factor by which a delayed request takes longer. */
const DELAYED_TIME_FACTOR = 2;

/** Relative cost of missing the deadline. */
const INTERACTIVE_PENALTY = 10;
const BATCH_PENALTY = 1;

/**
 * Orders by the penalty that a delay would cause, and then by deadline. This is
 * the difference between the penalty if the request runs now and if it takes
 * `DELAYED_TIME_FACTOR` times as long.
 */
export class PenaltyOrder implements QueueOrder {
  isBefore(
    a: QueuedRequest,
    b: QueuedRequest,
    at: number,
    serviceTimeMs: number,
  ): boolean {
    const difference =
      getDelayPenalty(a, at, serviceTimeMs) -
      getDelayPenalty(b, at, serviceTimeMs);
    return difference === 0 ? a.deadlineAt < b.deadlineAt : difference > 0;
  }
}

function getDelayPenalty(
  request: QueuedRequest,
  at: number,
  serviceTimeMs: number,
): number {
  const isMissed = (finishAt: number) => finishAt > request.deadlineAt;
  const isMissedNow = isMissed(at + serviceTimeMs);
  const isMissedLater = isMissed(at + DELAYED_TIME_FACTOR * serviceTimeMs);
  if (isMissedNow || !isMissedLater) {
    return 0;
  }
  return request.attempt.priority === 'batch'
    ? BATCH_PENALTY
    : INTERACTIVE_PENALTY;
}
