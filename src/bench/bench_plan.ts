/** What a bench run measures, quick and full. */
import {CoreCostPlan} from './core_cost.js';
import {LatencyPlan} from './call_latency.js';
import {Dissemination} from './proxy_setup.js';
import {ThroughputPlan} from './throughput.js';

/** One proxy's share of 60,000 calls a second over 630 proxies. */
const CALLS_PER_SECOND_PER_PROXY = 95;
const PEAK_RATE_FACTOR = 5;

/**
 * Chains a second. A chain holds 8 connections from each proxy to the other,
 * so that many at once would wait for each other.
 */
const CHAINS_PER_SECOND = 5;

/** The parts of a bench run. */
export const BENCH_PARTS = [
  'calls',
  'chains',
  'throughput',
  'fleet',
  'core',
] as const;

export type BenchPart = (typeof BENCH_PARTS)[number];

/** One way of spreading that is compared with others. */
export interface DisseminationVariant {
  readonly name: string;
  readonly dissemination: Dissemination;
}

export interface BenchPlan {
  readonly seed: number;
  readonly share: LatencyPlan;
  readonly peak: LatencyPlan;
  /** Chains of calls; the rate counts chains. */
  readonly chains: LatencyPlan;
  readonly throughput: ThroughputPlan;
  readonly fleet: FleetMeasurements;
  readonly core: CoreCostPlan;
}

/** One fleet to measure. */
export interface FleetRun {
  readonly size: number;
  readonly variant: DisseminationVariant;
}

export interface FleetMeasurements {
  /** Groups follow one another; the fleets of a group run at the same time. */
  readonly groups: ReadonlyArray<readonly FleetRun[]>;
  readonly zones: number;
  /** At most this many proxies have a process of their own. */
  readonly maxProcesses: number;
  readonly changes: number;
  readonly burstChanges: number;
  readonly idleMs: number;
  /** Single restarts where each proxy has a process of its own. */
  readonly singleRestarts: number;
  /** Whether all processes restart at once at the end. */
  readonly restartsFleet: boolean;
}

/** The default settings. */
const TREE: DisseminationVariant = {name: 'tree', dissemination: {}};

/** The baseline: every proxy watches the source. */
const NAIVE: DisseminationVariant = {
  name: 'naive',
  dissemination: {watchersPerZone: 100},
};

/** Tuned for short convergence. */
const SWIFT: DisseminationVariant = {
  name: 'swift',
  dissemination: {fanOut: 8, gossipIntervalMs: 500},
};

/** Tuned for few control bytes and source calls. */
const THRIFTY: DisseminationVariant = {
  name: 'thrifty',
  dissemination: {watchersPerZone: 2, gossipIntervalMs: 2_000},
};

const FULL_RUN_SIZES = [8, 16, 32, 64, 128];

/** Sizes at which all variants are compared. */
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
 * Chooses what to measure.
 * @param quick - Finish within 45 seconds.
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
 * Leaves fleets of other sizes out of a plan.
 * @param plan - The plan.
 * @param sizes - The sizes to keep, or undefined for all.
 * @returns The plan with what is left.
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
