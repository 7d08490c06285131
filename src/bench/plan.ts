/** What a bench run measures, quick and full. */
import {LatencyPlan} from './call_latency.js';
import {Dissemination} from './proxies.js';
import {ThroughputPlan} from './throughput.js';

/** One proxy's share of 60,000 calls a second over 630 proxies. */
const SHARE_PER_PROXY = 95;
const PEAK_FACTOR = 5;

/** The parts of a bench run. */
export const BENCH_PARTS = ['calls', 'chains', 'throughput', 'fleet'] as const;

export type BenchPart = (typeof BENCH_PARTS)[number];

/** One way of spreading that is compared with others. */
export interface Variant {
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
}

export interface FleetMeasurements {
  readonly sizes: readonly number[];
  readonly variants: readonly Variant[];
  readonly zones: number;
  /** At most this many proxies have a process of their own. */
  readonly maxProcesses: number;
  readonly changes: number;
  readonly burst: number;
  readonly restMs: number;
  /** Variants of one size run at the same time, which saves time. */
  readonly concurrentVariants: boolean;
}

/** The default settings. */
const TREE: Variant = {name: 'tree', dissemination: {}};

/** The baseline: every proxy watches the source. */
const NAIVE: Variant = {name: 'naive', dissemination: {watchersPerZone: 100}};

/**
 * Chooses what to measure.
 * @param quick - Finish within 45 seconds.
 * @param seed - Seed of all schedules.
 * @returns The plan.
 */
export function createPlan(quick: boolean, seed: number): BenchPlan {
  const peakRate = SHARE_PER_PROXY * PEAK_FACTOR;
  if (quick) {
    return {
      seed,
      share: {rate: SHARE_PER_PROXY, windowMs: 1_500, repetitions: 3, seed},
      peak: {rate: peakRate, windowMs: 1_000, repetitions: 3, seed},
      chains: {rate: 20, windowMs: 1_000, repetitions: 2, seed},
      throughput: {concurrency: 64, windowMs: 700, repetitions: 2},
      fleet: {
        sizes: [8, 16],
        variants: [TREE, NAIVE],
        zones: 2,
        maxProcesses: 8,
        changes: 3,
        burst: 5,
        restMs: 1_500,
        concurrentVariants: true,
      },
    };
  }
  return {
    seed,
    share: {rate: SHARE_PER_PROXY, windowMs: 10_000, repetitions: 7, seed},
    peak: {rate: peakRate, windowMs: 5_000, repetitions: 7, seed},
    chains: {rate: 20, windowMs: 5_000, repetitions: 5, seed},
    throughput: {concurrency: 64, windowMs: 3_000, repetitions: 5},
    fleet: {
      sizes: [8, 16, 32, 64, 128],
      variants: [TREE, NAIVE],
      zones: 2,
      maxProcesses: 8,
      changes: 15,
      burst: 30,
      restMs: 8_000,
      concurrentVariants: false,
    },
  };
}
