/** Orders of the owner's queue that are compared with the one in use. */
import {QueuedRequest, QueueOrder} from '../core/owner/queue_order.js';

export class ArrivalOrder implements QueueOrder {
  isBefore(): boolean {
    return false;
  }
}

export class DeadlineOrder implements QueueOrder {
  isBefore(a: QueuedRequest, b: QueuedRequest): boolean {
    return a.deadlineAt < b.deadlineAt;
  }
}

/** Factor by which a delayed request is assumed to take longer. */
const DELAYED_TIME_FACTOR = 2;

const INTERACTIVE_PENALTY = 10;
const BATCH_PENALTY = 1;

/**
 * Ranks by the penalty that a delay would cause: the difference between the
 * penalty when the request runs now and when it takes `DELAY_FACTOR` times as
 * long; then by deadline.
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
