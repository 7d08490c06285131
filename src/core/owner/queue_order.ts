/** Decides which of two queued requests runs first. */
import {Attempt} from '../../model/peer.js';

/** The properties that an order may depend on. */
export interface QueuedRequest {
  readonly attempt: Pick<Attempt, 'priority'>;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
}

export interface QueueOrder {
  /**
   * Reports whether one request must run before another that arrived earlier.
   * @param a - The later request.
   * @param b - The earlier request.
   * @param at - Now, in Unix milliseconds.
   * @param serviceTimeMs - Estimated service time of a request.
   * @returns True if `a` must run first.
   */
  isBefore(
    a: QueuedRequest,
    b: QueuedRequest,
    at: number,
    serviceTimeMs: number,
  ): boolean;
}

/** Orders interactive before batch requests, and then by deadline. */
export class PriorityThenDeadlineOrder implements QueueOrder {
  isBefore(a: QueuedRequest, b: QueuedRequest): boolean {
    if (a.attempt.priority !== b.attempt.priority) {
      return a.attempt.priority === 'interactive';
    }
    return a.deadlineAt < b.deadlineAt;
  }
}
