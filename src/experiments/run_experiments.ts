/** Runs every candidate through every fault, interleaved, for each seed. */
import {createComparisons} from './candidates.js';
import {Experiment, SLOTS_PER_OWNER} from './experiment.js';
import {Durations, FAULTS, runFault} from './faults.js';
import {Measures} from './measures.js';

export interface ExperimentPlan {
  readonly seeds: readonly number[];
  readonly durations: Durations;
  readonly overloadDurations: Durations;
  readonly entryCount?: number;
  /** Names of comparisons; all where undefined. */
  readonly comparisons?: readonly string[];
  /** Names of faults; all where undefined. */
  readonly faults?: readonly string[];
}

/** Figures of one candidate under one fault, one for each seed. */
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

/** The users speak of a minute of overload. */
const FULL_OVERLOAD_DURATIONS: Durations = {...FULL_DURATIONS, fault: 60_000};

/**
 * Creates the plan of a run.
 * @param isQuick - Short faults and one seed.
 * @param seed - The first seed; the others follow it.
 * @param seedCount - Seeds of a full run.
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
 * @param onSeedFinished - Called after each seed with the seconds that it took.
 * @returns The figures in the order of comparisons, candidates and faults.
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

/** No candidate may get its figures by using more than the slots. */
function assertSlotLimit(
  experiment: Experiment,
  candidate: string,
  fault: string,
): void {
  for (const {maxRunning} of experiment.upstreams) {
    if (maxRunning > SLOTS_PER_OWNER) {
      throw new Error(
        `Candidate ${candidate} ran ${maxRunning} requests on ${SLOTS_PER_OWNER} slots under fault ${fault}; mend the admission.`,
      );
    }
  }
}
