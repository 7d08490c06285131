/** Decides which of two queued requests runs first. */
import {Attempt} from '../../model/peer.js';

/** What an order may look at. */
export interface QueuedRequest {
  readonly attempt: Pick<Attempt, 'priority'>;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
}

export interface QueueOrder {
  /**
   * Tells whether one request must run before another that came earlier.
   * @param a - The one.
   * @param b - The other.
   * @param at - Now, in Unix milliseconds.
   * @param serviceTimeMs - Estimated time that a request runs.
   * @returns True if so.
   */
  isBefore(
    a: QueuedRequest,
    b: QueuedRequest,
    at: number,
    serviceTimeMs: number,
  ): boolean;
}

/** Interactive before batch, then by deadline. */
export class PriorityThenDeadlineOrder implements QueueOrder {
  isBefore(a: QueuedRequest, b: QueuedRequest): boolean {
    if (a.attempt.priority !== b.attempt.priority) {
      return a.attempt.priority === 'interactive';
    }
    return a.deadlineAt < b.deadlineAt;
  }
}
