/**
 * The policy under load and faults. It is data, so that experiments can
 * compare alternatives; `docs/policy.md` gives their results.
 */
import {Chooser, RandomChoices} from './entry/chooser.js';
import {QueueOrder, PriorityThenDeadlineOrder} from './owner/queue_order.js';

export interface Policy {
  /** Which queued request runs next. */
  readonly queueOrder: QueueOrder;
  /** Refuse a request at once if it cannot finish before its deadline. */
  readonly refusesUnmeetableDeadlines: boolean;
  /** How an entry chooses among the upstreams of a service. */
  readonly chooser: Chooser;
  /** Weight an upstream's utilization by its relative service time. */
  readonly ranksByExpectedTime: boolean;
  /**
   * Fraction of the remaining time that the first attempt of an idempotent call
   * gets while another upstream could still be tried.
   */
  readonly firstAttemptShare: number;
  /** Added to the utilization of an upstream in another zone. */
  readonly otherZonePenalty: number;
  /** Added to the utilization of an upstream in another region. */
  readonly otherRegionPenalty: number;
}

export const DEFAULT_POLICY: Policy = {
  queueOrder: new PriorityThenDeadlineOrder(),
  refusesUnmeetableDeadlines: true,
  chooser: new RandomChoices(3),
  ranksByExpectedTime: false,
  firstAttemptShare: 0.7,
  otherZonePenalty: 1,
  otherRegionPenalty: 2,
};
