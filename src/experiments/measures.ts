/** Computes the measures of one run from its calls. */
import {Outcome} from '../core/refusals.js';

/** A call of an experiment and its result. */
export interface CallRecord {
  /** Time of arrival, in Unix milliseconds. */
  readonly at: number;
  readonly zone: string;
  readonly isBatch: boolean;
  /** Time that an upstream works on the call at normal speed. */
  readonly workMs: number;
  attempts: number;
  /** Attempts that were sent to upstreams in the caller's zone. */
  localAttempts: number;
  result: Outcome | 'open';
  /** Time from arrival to the result. */
  tookMs: number;
}

/** Relative cost of calls that are not answered. */
const INTERACTIVE_PENALTY = 10;
const BATCH_PENALTY = 1;

/** Fraction of the calls that must be answered in a recovered window. */
const RECOVERED_FRACTION = 0.97;
/** Length of the windows in which recovery is measured. */
const WINDOW_MS = 500;

/** Bounds of the phases of a run, in Unix milliseconds. */
export interface PhaseTimes {
  readonly faultBeganAt: number;
  readonly faultEndedAt: number;
  readonly runEndedAt: number;
}

/** Measures by key, with their descriptions. */
export const MEASURES = {
  goodput: 'answered, % of offered, during the fault',
  interactive: 'the same for interactive calls',
  penalty: 'penalty of missed calls, % of all possible',
  refused: 'not-run, % of offered',
  unknown: 'unknown outcome, % of offered',
  refusalP50: 'time to refusal, ms, median',
  refusalP99: 'time to refusal, ms, 99 in 100',
  latencyP50: 'time to answer, ms, median',
  latencyP99: 'time to answer, ms, 99 in 100',
  retries: 'retries per 100 first tries',
  local: 'attempts within the zone, %',
  recoveryMs: 'time to recover once normal, ms',
  afterwards: 'answered, % of offered, after the fault',
} as const;

/** Values of all measures for one run. */
export type Measures = Record<keyof typeof MEASURES, number>;

/**
 * Computes the measures of a run.
 * @param records - All calls.
 * @param phases - When the phases of the run began and ended.
 * @returns The measures.
 */
export function computeMeasures(
  records: readonly CallRecord[],
  phases: PhaseTimes,
): Measures {
  const {faultBeganAt, faultEndedAt} = phases;
  const during = records.filter(
    ({at}) => at >= faultBeganAt && at < faultEndedAt,
  );
  const after = records.filter(({at}) => at >= faultEndedAt);
  const refused = during.filter(({result}) => result === 'not-run');
  const answered = during.filter(({result}) => result === 'answered');
  const attempts = sum(during, record => record.attempts);
  const refusalDurations = getSortedDurations(refused);
  const answerDurations = getSortedDurations(answered);
  return {
    goodput: getAnsweredPercent(during),
    interactive: getAnsweredPercent(during.filter(({isBatch}) => !isBatch)),
    penalty: getPenaltyPercent(during),
    refused: toPercent(refused.length, during.length),
    unknown: toPercent(
      during.filter(({result}) => result === 'unknown').length,
      during.length,
    ),
    refusalP50: getQuantile(refusalDurations, 0.5),
    refusalP99: getQuantile(refusalDurations, 0.99),
    latencyP50: getQuantile(answerDurations, 0.5),
    latencyP99: getQuantile(answerDurations, 0.99),
    retries: toPercent(
      sum(during, record => Math.max(0, record.attempts - 1)),
      during.length,
    ),
    local: toPercent(
      sum(during, record => record.localAttempts),
      attempts,
    ),
    recoveryMs: getRecoveryMs(after, phases),
    afterwards: getAnsweredPercent(after),
  };
}

/** Time after the fault until all further windows are recovered. */
function getRecoveryMs(
  after: readonly CallRecord[],
  phases: PhaseTimes,
): number {
  const {faultEndedAt, runEndedAt} = phases;
  let recoveredAt = faultEndedAt;
  for (let at = faultEndedAt; at + WINDOW_MS <= runEndedAt; at += WINDOW_MS) {
    const window = after.filter(
      record => record.at >= at && record.at < at + WINDOW_MS,
    );
    if (getAnsweredPercent(window) < 100 * RECOVERED_FRACTION) {
      recoveredAt = at + WINDOW_MS;
    }
  }
  return recoveredAt - faultEndedAt;
}

function getAnsweredPercent(records: readonly CallRecord[]): number {
  const answered = records.filter(({result}) => result === 'answered');
  return toPercent(answered.length, records.length);
}

function getPenaltyPercent(records: readonly CallRecord[]): number {
  const getPenalty = ({isBatch}: CallRecord) =>
    isBatch ? BATCH_PENALTY : INTERACTIVE_PENALTY;
  const missed = records.filter(({result}) => result !== 'answered');
  return toPercent(sum(missed, getPenalty), sum(records, getPenalty));
}

function sum<T>(items: readonly T[], getValue: (item: T) => number): number {
  return items.reduce((total, item) => total + getValue(item), 0);
}

function toPercent(part: number, whole: number): number {
  return whole === 0 ? 0 : (100 * part) / whole;
}

function getSortedDurations(records: readonly CallRecord[]): number[] {
  return records.map(({tookMs}) => tookMs).sort((a, b) => a - b);
}

function getQuantile(sorted: readonly number[], quantile: number): number {
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
