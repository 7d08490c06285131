/**
 * Candidates of the experiments: variants of the policy in use that differ in
 * one choice each.
 */
import {RandomChoices} from '../core/entry/chooser.js';
import {DEFAULT_POLICY, Policy} from '../core/policy.js';
import {Service} from '../model/config.js';
import {RoundRobinChooser} from './choosers.js';
import {Candidate} from './experiment.js';
import {ArrivalOrder, DeadlineOrder, PenaltyOrder} from './queue_orders.js';

const UNLIMITED_QUEUE_LENGTH = 10_000;

/** Accepts every request and runs them in the order of arrival. */
const UNLIMITED_QUEUE_POLICY: Partial<Policy> = {
  queueOrder: new ArrivalOrder(),
  refusesUnmeetableDeadlines: false,
};

/** The policy that was in use before these experiments. */
const PREVIOUS_POLICY: Partial<Policy> = {
  chooser: new RandomChoices(2),
  ranksByExpectedTime: false,
  firstAttemptShare: 1,
  otherZonePenalty: 0.25,
};

/** A design choice with its candidates. */
export interface Comparison {
  readonly name: string;
  readonly candidates: readonly Candidate[];
}

/** Creates a candidate from the policy in use and what it changes. */
function createCandidate(
  name: string,
  policy: Partial<Policy>,
  service: Partial<Service> = {},
): Candidate {
  return {name, policy: {...DEFAULT_POLICY, ...policy}, service};
}

/**
 * Creates all comparisons. Each run needs new candidates because a round-robin
 * chooser has state.
 * @returns The comparisons; the very first candidate is the policy in use.
 */
export function createComparisons(): Comparison[] {
  const inUse = createCandidate('in use', {});
  const plainRetries = {
    ...createCandidate('plain retries', {}),
    hasUnlimitedRetries: true,
  };
  const combinedBaseline: Candidate = {
    ...createCandidate(
      'all three',
      {...UNLIMITED_QUEUE_POLICY, chooser: new RoundRobinChooser()},
      {queue: UNLIMITED_QUEUE_LENGTH},
    ),
    hasUnlimitedRetries: true,
  };
  return [
    {
      name: 'baselines',
      candidates: [
        inUse,
        createCandidate('round robin', {chooser: new RoundRobinChooser()}),
        createCandidate('unlimited queue', UNLIMITED_QUEUE_POLICY, {
          queue: UNLIMITED_QUEUE_LENGTH,
        }),
        plainRetries,
        combinedBaseline,
      ],
    },
    {
      name: 'queue order',
      candidates: [
        createCandidate('arrival', {queueOrder: new ArrivalOrder()}),
        createCandidate('deadline', {queueOrder: new DeadlineOrder()}),
        createCandidate('penalty', {queueOrder: new PenaltyOrder()}),
        createCandidate('late ones not refused', {
          refusesUnmeetableDeadlines: false,
        }),
      ],
    },
    {
      name: 'queue bound',
      candidates: [0, 8, 32, 128].map(queue =>
        createCandidate(`queue ${queue}`, {}, {queue}),
      ),
    },
    {
      name: 'choice of upstream',
      candidates: [
        createCandidate('two choices', {chooser: new RandomChoices(2)}),
        createCandidate('least loaded', {chooser: new RandomChoices(Infinity)}),
        createCandidate('round robin', {chooser: new RoundRobinChooser()}),
        createCandidate('by expected time', {ranksByExpectedTime: true}),
      ],
    },
    {
      name: 'zone penalty',
      candidates: [0, 0.25, 0.5, 2].map(otherZonePenalty =>
        createCandidate(`zone ${otherZonePenalty}`, {otherZonePenalty}),
      ),
    },
    {
      name: 'slow start',
      candidates: [2_000, 5_000, 10_000].map(slowStartMs =>
        createCandidate(
          `slow start ${slowStartMs / 1_000} s`,
          {},
          {slowStartMs},
        ),
      ),
    },
    {
      name: 'first attempt',
      candidates: [
        ...[0.3, 0.5, 1].map(firstAttemptShare =>
          createCandidate(`first attempt ${firstAttemptShare}`, {
            firstAttemptShare,
          }),
        ),
      ],
    },
    {
      name: 'combined',
      candidates: [
        createCandidate('before', PREVIOUS_POLICY, {queue: 32}),
        createCandidate('two choices', {chooser: new RandomChoices(2)}),
        createCandidate('queue 8', {}, {queue: 8}),
        createCandidate('queue 32', {}, {queue: 32}),
        createCandidate('expected time', {ranksByExpectedTime: true}),
        createCandidate('arrival order', {queueOrder: new ArrivalOrder()}),
        createCandidate('penalty ranking', {queueOrder: new PenaltyOrder()}),
      ],
    },
    {
      name: 'retry budget',
      candidates: [0, 5, 20, 50].map(retryBudgetPercent =>
        createCandidate(
          `budget ${retryBudgetPercent} %`,
          {},
          {retryBudgetPercent},
        ),
      ),
    },
  ];
}
