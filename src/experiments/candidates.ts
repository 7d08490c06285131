/** What is compared: the policy in use, with one choice changed at a time. */
import {RandomChoices} from '../core/entry/chooser.js';
import {DEFAULT_POLICY, Policy} from '../core/policy.js';
import {Service} from '../model/config.js';
import {RoundRobin} from './choosers.js';
import {Candidate} from './experiment.js';
import {ArrivalOrder, DeadlineOrder, PenaltyOrder} from './orders.js';

const UNLIMITED_QUEUE = 10_000;

/** A queue that takes everything and runs it in the order of arrival. */
const UNLIMITED: Partial<Policy> = {
  queueOrder: new ArrivalOrder(),
  refusesUnmeetableDeadlines: false,
};

/** The policy before these experiments. */
const BEFORE: Partial<Policy> = {
  chooser: new RandomChoices(2),
  ranksByExpectedTime: false,
  firstAttemptShare: 1,
  otherZonePenalty: 0.25,
};

/** One decision with the candidates for it. */
export interface Comparison {
  readonly name: string;
  readonly candidates: readonly Candidate[];
}

function vary(
  name: string,
  policy: Partial<Policy>,
  service: Partial<Service> = {},
): Candidate {
  return {name, policy: {...DEFAULT_POLICY, ...policy}, service};
}

/**
 * Lists all comparisons. Round robin keeps a count, so candidates are made
 * anew for each run.
 * @returns The comparisons; the first candidate is the policy in use.
 */
export function createComparisons(): Comparison[] {
  const inUse = vary('in use', {});
  const plainRetries = {...vary('plain retries', {}), hasEndlessRetries: true};
  const naive: Candidate = {
    ...vary(
      'all three',
      {...UNLIMITED, chooser: new RoundRobin()},
      {queue: UNLIMITED_QUEUE},
    ),
    hasEndlessRetries: true,
  };
  return [
    {
      name: 'baselines',
      candidates: [
        inUse,
        vary('round robin', {chooser: new RoundRobin()}),
        vary('unlimited queue', UNLIMITED, {queue: UNLIMITED_QUEUE}),
        plainRetries,
        naive,
      ],
    },
    {
      name: 'queue order',
      candidates: [
        vary('arrival', {queueOrder: new ArrivalOrder()}),
        vary('deadline', {queueOrder: new DeadlineOrder()}),
        vary('penalty', {queueOrder: new PenaltyOrder()}),
        vary('late ones not refused', {refusesUnmeetableDeadlines: false}),
      ],
    },
    {
      name: 'queue bound',
      candidates: [0, 8, 32, 128].map(queue =>
        vary(`queue ${queue}`, {}, {queue}),
      ),
    },
    {
      name: 'choice of upstream',
      candidates: [
        vary('two choices', {chooser: new RandomChoices(2)}),
        vary('least loaded', {chooser: new RandomChoices(Infinity)}),
        vary('round robin', {chooser: new RoundRobin()}),
        vary('by expected time', {ranksByExpectedTime: true}),
      ],
    },
    {
      name: 'zone penalty',
      candidates: [0, 0.25, 0.5, 2].map(otherZonePenalty =>
        vary(`zone ${otherZonePenalty}`, {otherZonePenalty}),
      ),
    },
    {
      name: 'slow start',
      candidates: [2_000, 5_000, 10_000].map(slowStartMs =>
        vary(`slow start ${slowStartMs / 1_000} s`, {}, {slowStartMs}),
      ),
    },
    {
      name: 'first attempt',
      candidates: [
        ...[0.3, 0.5, 1].map(firstAttemptShare =>
          vary(`first attempt ${firstAttemptShare}`, {firstAttemptShare}),
        ),
      ],
    },
    {
      name: 'combined',
      candidates: [
        vary('before', BEFORE, {queue: 32}),
        vary('two choices', {chooser: new RandomChoices(2)}),
        vary('queue 8', {}, {queue: 8}),
        vary('queue 32', {}, {queue: 32}),
        vary('expected time', {ranksByExpectedTime: true}),
        vary('arrival order', {queueOrder: new ArrivalOrder()}),
        vary('penalty ranking', {queueOrder: new PenaltyOrder()}),
      ],
    },
    {
      name: 'retry budget',
      candidates: [0, 5, 20, 50].map(retryBudgetPercent =>
        vary(`budget ${retryBudgetPercent} %`, {}, {retryBudgetPercent}),
      ),
    },
  ];
}
