/**
 * Runs every candidate under every fault for each seed. All runs of one seed
 * finish before those of the next begin.
 */
import {createComparisons} from './candidates.js';
import {Experiment, SLOTS_PER_OWNER} from './experiment.js';
import {Durations, FAULTS, runFault} from './faults.js';
import {Measures} from './measures.js';

/** The runs to make. */
export interface ExperimentPlan {
  readonly seeds: readonly number[];
  readonly durations: Durations;
  /** Durations under the fault `overload`. */
  readonly overloadDurations: Durations;
  readonly entryCount?: number;
  /** Names of the comparisons to run; undefined runs all. */
  readonly comparisons?: readonly string[];
  /** Names of the faults to run; undefined runs all. */
  readonly faults?: readonly string[];
}

/** Measures of one candidate under one fault, one element per seed. */
export interface ExperimentResult {
  readonly comparison: string;
  readonly candidate: string;
  readonly fault: string;
  readonly runs: Measures[];
}

const QUICK_DURATIONS: Durations = {before: 3_000, fault: 5_000, after: 5_000};
const FULL_DURATIONS: Durations = {
  before: 10_000,
  fault: 20_000,
  after: 20_000,
};

/** The requirements assume overloads that last a minute. */
const FULL_OVERLOAD_DURATIONS: Durations = {...FULL_DURATIONS, fault: 60_000};

/**
 * Creates a plan with all comparisons and faults.
 * @param isQuick - Whether to run only one seed, with short faults.
 * @param seed - The first seed; the others are the numbers that follow.
 * @param seedCount - Number of seeds of a full run.
 * @returns The plan.
 */
export function createExperimentPlan(
  isQuick: boolean,
  seed: number,
  seedCount: number,
): ExperimentPlan {
  const count = isQuick ? 1 : seedCount;
  const seeds = Array.from({length: count}, (_, n) => seed + n);
  return {
    seeds,
    durations: isQuick ? QUICK_DURATIONS : FULL_DURATIONS,
    overloadDurations: isQuick ? QUICK_DURATIONS : FULL_OVERLOAD_DURATIONS,
  };
}

/**
 * Runs a plan.
 * @param plan - The plan.
 * @param onSeedFinished - Called with each seed after its last run.
 * @returns The measures, by fault, comparison and candidate.
 */
export function runExperiments(
  plan: ExperimentPlan,
  onSeedFinished: (seed: number) => void,
): ExperimentResult[] {
  const results = new Map<string, ExperimentResult>();
  for (const seed of plan.seeds) {
    for (const fault of FAULTS) {
      if (plan.faults?.includes(fault.name) === false) {
        continue;
      }
      for (const {name, candidates} of createComparisons()) {
        if (plan.comparisons?.includes(name) === false) {
          continue;
        }
        for (const candidate of candidates) {
          const experiment = new Experiment(candidate, seed, plan.entryCount);
          const durations =
            fault.name === 'overload' ? plan.overloadDurations : plan.durations;
          const measures = runFault(experiment, fault, durations);
          assertSlotLimit(experiment, candidate.name, fault.name);
          const key = `${name}/${candidate.name}/${fault.name}`;
          const result = results.get(key) ?? {
            comparison: name,
            candidate: candidate.name,
            fault: fault.name,
            runs: [],
          };
          result.runs.push(measures);
          results.set(key, result);
        }
      }
    }
    onSeedFinished(seed);
  }
  return [...results.values()];
}

/** Throws if an upstream ran more requests at once than it has slots. */
function assertSlotLimit(
  experiment: Experiment,
  candidate: string,
  fault: string,
): void {
  for (const {maxRunning} of experiment.upstreams) {
    if (maxRunning > SLOTS_PER_OWNER) {
      throw new Error(
        `Candidate ${candidate} ran ${maxRunning} requests on ${SLOTS_PER_OWNER} slots under fault ${fault}; fix the admission control.`,
      );
    }
  }
}
