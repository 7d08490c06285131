/** Time that the system adds to a call, paired with bare hops. */
import {CallTopology, CHAIN_DEPTH} from './call_topology.js';
import {Arm, ArmResult, runWindow} from './open_loop.js';
import {getSpread, Spread} from './stats.js';

const PERCENTILES = [50, 99] as const;

/** Seeds of consecutive windows differ by this prime. */
const SEED_STEP = 7_919;

const WARM_UP_MS = 1_000;

export interface LatencyPlan {
  /** Calls a second of each arm. */
  readonly rate: number;
  readonly windowMs: number;
  readonly repetitions: number;
  readonly seed: number;
}

/** One figure at p50 and p99, over the repetitions, in milliseconds. */
export interface PercentileSpreads {
  readonly p50: Spread;
  readonly p99: Spread;
}

export interface LatencyReport {
  readonly plan: LatencyPlan;
  /** Latency of each arm by name. */
  readonly arms: Readonly<Record<string, PercentileSpreads>>;
  readonly failed: number;
  /** Entry and owner in two processes, over the direct call. */
  readonly added: PercentileSpreads;
  /** Entry and owner in one process, over the direct call. */
  readonly addedOwn: PercentileSpreads;
  /** Two bare hops, over the direct call. */
  readonly addedBare: PercentileSpreads;
  /** Added time over that of as many bare hops; 1 is equal. */
  readonly addedOverBare: PercentileSpreads;
  readonly addedOwnOverBare: PercentileSpreads;
}

type Window = ReadonlyMap<string, ArmResult>;

async function runWindows(
  arms: readonly Arm[],
  plan: LatencyPlan,
): Promise<Window[]> {
  const {rate, windowMs, repetitions, seed} = plan;
  await runWindow(arms, rate, WARM_UP_MS, seed);
  const windows: Window[] = [];
  for (let index = 1; index <= repetitions; index += 1) {
    const windowSeed = seed + index * SEED_STEP;
    const results = await runWindow(arms, rate, windowMs, windowSeed);
    windows.push(new Map(results.map(result => [result.name, result])));
  }
  return windows;
}

function getLatency(window: Window, arm: Arm, percentile: number): number {
  return window.get(arm.name)?.latencies.getPercentile(percentile) ?? NaN;
}

/** Computes a figure in each window and summarizes it over the windows. */
function summarize(
  windows: readonly Window[],
  compute: (window: Window, percentile: number) => number,
): PercentileSpreads {
  const [p50, p99] = PERCENTILES.map(percentile =>
    getSpread(windows.map(window => compute(window, percentile))),
  );
  return {p50, p99};
}

/**
 * Divides by medians, because the difference of two tails may be near zero in
 * a single window. The range is that of the dividend.
 */
function divide(a: PercentileSpreads, b: PercentileSpreads): PercentileSpreads {
  const scale = (spread: Spread, divisor: number): Spread => ({
    median: spread.median / divisor,
    min: spread.min / divisor,
    max: spread.max / divisor,
    samples: spread.samples,
  });
  return {p50: scale(a.p50, b.p50.median), p99: scale(a.p99, b.p99.median)};
}

function sumFailed(windows: readonly Window[]): number {
  return windows
    .flatMap(window => [...window.values()])
    .reduce((sum, {failed}) => sum + failed, 0);
}

/**
 * Measures single calls by all ways, interleaved.
 * @param topology - The processes.
 * @param plan - Rate, length, repetitions and seed.
 * @returns The report.
 */
export async function measureLatency(
  topology: CallTopology,
  plan: LatencyPlan,
): Promise<LatencyReport> {
  const {direct, bareOne, bareTwo, own, pair} = topology.arms;
  const arms = Object.values(topology.arms);
  const windows = await runWindows(arms, plan);
  const added = (arm: Arm) => (window: Window, percentile: number) =>
    getLatency(window, arm, percentile) -
    getLatency(window, direct, percentile);
  const summarizeRatio = (arm: Arm, bare: Arm) =>
    divide(summarize(windows, added(arm)), summarize(windows, added(bare)));
  return {
    plan,
    arms: Object.fromEntries(
      arms.map(arm => [
        arm.name,
        summarize(windows, (window, p) => getLatency(window, arm, p)),
      ]),
    ),
    failed: sumFailed(windows),
    added: summarize(windows, added(pair)),
    addedOwn: summarize(windows, added(own)),
    addedBare: summarize(windows, added(bareTwo)),
    addedOverBare: summarizeRatio(pair, bareTwo),
    addedOwnOverBare: summarizeRatio(own, bareOne),
  };
}

export interface ChainReport {
  readonly plan: LatencyPlan;
  readonly depth: number;
  readonly failed: number;
  /** Added to the whole chain. */
  readonly added: PercentileSpreads;
  /** Added to each call of it, on average. */
  readonly addedEach: PercentileSpreads;
  readonly addedOverBare: PercentileSpreads;
}

/**
 * Measures chains of calls, each call by the same way.
 * @param topology - The processes.
 * @param plan - Chains a second, length, repetitions and seed.
 * @returns The report.
 */
export async function measureChains(
  topology: CallTopology,
  plan: LatencyPlan,
): Promise<ChainReport> {
  const {direct, bareTwo, pair} = topology.chains;
  const windows = await runWindows([direct, bareTwo, pair], plan);
  const added = (arm: Arm) => (window: Window, percentile: number) =>
    getLatency(window, arm, percentile) -
    getLatency(window, direct, percentile);
  return {
    plan,
    depth: CHAIN_DEPTH,
    failed: sumFailed(windows),
    added: summarize(windows, added(pair)),
    addedEach: summarize(
      windows,
      (window, p) => added(pair)(window, p) / CHAIN_DEPTH,
    ),
    addedOverBare: divide(
      summarize(windows, added(pair)),
      summarize(windows, added(bareTwo)),
    ),
  };
}
