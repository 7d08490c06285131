/** Defines what a quick and a full bench run measure. */
import {CoreCostPlan} from './core_cost.js';
import {LatencyPlan} from './call_latency.js';
import {Dissemination} from './proxy_setup.js';
import {ThroughputPlan} from './throughput.js';

/** 60,000 calls per second, divided by 630 proxies. */
const CALLS_PER_SECOND_PER_PROXY = 95;
const PEAK_RATE_FACTOR = 5;

/**
 * Kept low because each chain occupies 8 connections from each proxy to the
 * other, so that many concurrent chains would wait for connections.
 */
const CHAINS_PER_SECOND = 5;

/** The parts of a bench run, as named on the command line. */
export const BENCH_PARTS = [
  'calls',
  'chains',
  'throughput',
  'fleet',
  'core',
] as const;

export type BenchPart = (typeof BENCH_PARTS)[number];

/** A named set of dissemination settings to compare. */
export interface DisseminationVariant {
  readonly name: string;
  readonly dissemination: Dissemination;
}

export interface BenchPlan {
  readonly seed: number;
  /** Single calls at the average rate of a proxy. */
  readonly share: LatencyPlan;
  /** Single calls at the peak rate of a proxy. */
  readonly peak: LatencyPlan;
  /** Chains of nested calls; the rate is in chains per second. */
  readonly chains: LatencyPlan;
  readonly throughput: ThroughputPlan;
  readonly fleet: FleetMeasurementPlan;
  readonly core: CoreCostPlan;
}

/** One fleet to measure. */
export interface FleetRun {
  readonly size: number;
  readonly variant: DisseminationVariant;
}

/** What the fleet part of a bench run measures. */
export interface FleetMeasurementPlan {
  /** Groups run one after another; the fleets of a group run concurrently. */
  readonly groups: ReadonlyArray<readonly FleetRun[]>;
  readonly zones: number;
  /** Maximum number of host processes, among which the proxies are divided. */
  readonly maxProcesses: number;
  /**
   * Changes that are published one by one, each after the previous converged.
   */
  readonly changes: number;
  /** Changes that are published without waiting for convergence. */
  readonly burstChanges: number;
  /** Time without changes, in which the idle cost is measured. */
  readonly idleMs: number;
  /** Restarts of one process; only done if each process runs one proxy. */
  readonly singleRestarts: number;
  /** Whether all processes are restarted at the same time at the end. */
  readonly restartsFleet: boolean;
}

/** The default settings. */
const TREE: DisseminationVariant = {name: 'tree', dissemination: {}};

/** The baseline: every proxy watches the source directly. */
const NAIVE: DisseminationVariant = {
  name: 'naive',
  dissemination: {watchersPerZone: 100},
};

/** Trades more control traffic for faster convergence. */
const SWIFT: DisseminationVariant = {
  name: 'swift',
  dissemination: {fanOut: 8, gossipIntervalMs: 500},
};

/**
 * Trades slower convergence for less control traffic and fewer source calls.
 */
const THRIFTY: DisseminationVariant = {
  name: 'thrifty',
  dissemination: {watchersPerZone: 2, gossipIntervalMs: 2_000},
};

const FULL_RUN_SIZES = [8, 16, 32, 64, 128];

/** Sizes at which all variants run, not only `tree` and `naive`. */
const ALL_VARIANT_SIZES = [32];

function createFullFleetRuns(): FleetRun[] {
  return FULL_RUN_SIZES.flatMap(size => {
    const variants = ALL_VARIANT_SIZES.includes(size)
      ? [TREE, NAIVE, SWIFT, THRIFTY]
      : [TREE, NAIVE];
    return variants.map(variant => ({size, variant}));
  });
}

/**
 * Creates the plan of a bench run.
 * @param quick - Whether the run has to finish within 45 seconds.
 * @param seed - Seed of all schedules.
 * @returns The plan.
 */
export function createBenchPlan(quick: boolean, seed: number): BenchPlan {
  const peakRate = CALLS_PER_SECOND_PER_PROXY * PEAK_RATE_FACTOR;
  if (quick) {
    return {
      seed,
      share: {
        rate: CALLS_PER_SECOND_PER_PROXY,
        windowMs: 1_500,
        repetitions: 3,
        seed,
      },
      peak: {rate: peakRate, windowMs: 1_000, repetitions: 2, seed},
      chains: {rate: CHAINS_PER_SECOND, windowMs: 2_000, repetitions: 2, seed},
      throughput: {concurrency: 64, windowMs: 700, repetitions: 2},
      fleet: {
        groups: [8, 16].map(size => [
          {size, variant: TREE},
          {size, variant: NAIVE},
        ]),
        zones: 2,
        maxProcesses: 8,
        changes: 3,
        burstChanges: 5,
        idleMs: 1_500,
        singleRestarts: 1,
        restartsFleet: false,
      },
      core: {sizes: [126, 630], repetitions: 3},
    };
  }
  return {
    seed,
    share: {
      rate: CALLS_PER_SECOND_PER_PROXY,
      windowMs: 10_000,
      repetitions: 7,
      seed,
    },
    peak: {rate: peakRate, windowMs: 5_000, repetitions: 7, seed},
    chains: {rate: CHAINS_PER_SECOND, windowMs: 10_000, repetitions: 5, seed},
    throughput: {concurrency: 64, windowMs: 3_000, repetitions: 5},
    fleet: {
      groups: createFullFleetRuns().map(run => [run]),
      zones: 2,
      maxProcesses: 8,
      changes: 12,
      burstChanges: 20,
      idleMs: 6_000,
      singleRestarts: 3,
      restartsFleet: true,
    },
    core: {sizes: [63, 126, 315, 630, 1_260], repetitions: 15},
  };
}

/**
 * Removes the fleets of other sizes from a plan.
 * @param plan - The plan.
 * @param sizes - The sizes to keep, or undefined for all.
 * @returns The reduced plan.
 */
export function filterFleetSizes(
  plan: BenchPlan,
  sizes: readonly number[] | undefined,
): BenchPlan {
  if (sizes === undefined) {
    return plan;
  }
  const groups = plan.fleet.groups
    .map(group => group.filter(({size}) => sizes.includes(size)))
    .filter(group => group.length > 0);
  return {...plan, fleet: {...plan.fleet, groups}};
}
