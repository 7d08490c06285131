/**
 * The choices under load and faults that were decided by measurement; see
 * `docs/policy.md`. They are data, so that experiments can compare others.
 */
import {Chooser, RandomChoices} from './entry/chooser.js';
import {QueueOrder, PriorityThenDeadlineOrder} from './owner/queue_order.js';

export interface Policy {
  /** Which queued request runs next. */
  readonly queueOrder: QueueOrder;
  /** Refuse at once what cannot finish before its deadline. */
  readonly refusesUnmeetableDeadlines: boolean;
  /** How an entry chooses among the upstreams of a service. */
  readonly chooser: Chooser;
  /** Choose by expected time instead of by utilization. */
  readonly ranksByExpectedTime: boolean;
  /**
   * Share of its remaining time that the first attempt of an idempotent call
   * gets while another upstream could be tried.
   */
  readonly firstAttemptShare: number;
  /** Utilization by which an upstream of another zone must be lower. */
  readonly otherZonePenalty: number;
  /** Utilization by which an upstream of another region must be lower. */
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
