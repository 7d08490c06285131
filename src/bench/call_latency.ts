/** Time that the system adds to a call, paired with bare hops. */
import {CallTopology, CHAIN_DEPTH} from './call_topology.js';
import {Arm, ArmResult, runWindow} from './open_loop.js';
import {summarizeSamples, SampleSummary} from './stats.js';

const REPORTED_PERCENTILES = [50, 99] as const;

/** Seeds of consecutive windows differ by this prime. */
const SEED_STEP = 7_919;

const WARM_UP_WINDOW_MS = 1_000;

export interface LatencyPlan {
  /** Calls a second of each arm. */
  readonly rate: number;
  readonly windowMs: number;
  readonly repetitions: number;
  readonly seed: number;
}

/** One figure at p50 and p99, over the repetitions, in milliseconds. */
export interface PercentileSummaries {
  readonly p50: SampleSummary;
  readonly p99: SampleSummary;
}

export interface LatencyReport {
  readonly plan: LatencyPlan;
  /** Latency of each arm by name. */
  readonly arms: Readonly<Record<string, PercentileSummaries>>;
  readonly failed: number;
  /** Entry and owner in two processes, over the direct call. */
  readonly added: PercentileSummaries;
  /** Entry and owner in one process, over the direct call. */
  readonly addedOwn: PercentileSummaries;
  /** Two bare hops, over the direct call. */
  readonly addedBare: PercentileSummaries;
  /** Added time over that of as many bare hops; 1 is equal. */
  readonly addedOverBare: PercentileSummaries;
  readonly addedOwnOverBare: PercentileSummaries;
}

type ResultsByArm = ReadonlyMap<string, ArmResult>;

async function runWindows(
  arms: readonly Arm[],
  plan: LatencyPlan,
): Promise<ResultsByArm[]> {
  const {rate, windowMs, repetitions, seed} = plan;
  await runWindow(arms, rate, WARM_UP_WINDOW_MS, seed);
  const windows: ResultsByArm[] = [];
  for (let index = 1; index <= repetitions; index += 1) {
    const windowSeed = seed + index * SEED_STEP;
    const results = await runWindow(arms, rate, windowMs, windowSeed);
    windows.push(new Map(results.map(result => [result.name, result])));
  }
  return windows;
}

function getLatency(
  window: ResultsByArm,
  arm: Arm,
  percentile: number,
): number {
  return window.get(arm.name)?.latencies.getPercentile(percentile) ?? NaN;
}

/** Computes a figure in each window and summarizes it over the windows. */
function summarizeWindows(
  windows: readonly ResultsByArm[],
  compute: (window: ResultsByArm, percentile: number) => number,
): PercentileSummaries {
  const [p50, p99] = REPORTED_PERCENTILES.map(percentile =>
    summarizeSamples(windows.map(window => compute(window, percentile))),
  );
  return {p50, p99};
}

/**
 * Divides by medians, because the difference of two tails may be near zero in
 * a single window. The range is that of the dividend.
 */
function divideByMedian(
  dividend: PercentileSummaries,
  divisor: PercentileSummaries,
): PercentileSummaries {
  const divideSummary = (
    summary: SampleSummary,
    median: number,
  ): SampleSummary => ({
    median: summary.median / median,
    min: summary.min / median,
    max: summary.max / median,
    samples: summary.samples,
  });
  return {
    p50: divideSummary(dividend.p50, divisor.p50.median),
    p99: divideSummary(dividend.p99, divisor.p99.median),
  };
}

function countFailures(windows: readonly ResultsByArm[]): number {
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
  const getAddedLatency =
    (arm: Arm) => (window: ResultsByArm, percentile: number) =>
      getLatency(window, arm, percentile) -
      getLatency(window, direct, percentile);
  const summarizeAddedRatio = (arm: Arm, bare: Arm) =>
    divideByMedian(
      summarizeWindows(windows, getAddedLatency(arm)),
      summarizeWindows(windows, getAddedLatency(bare)),
    );
  return {
    plan,
    arms: Object.fromEntries(
      arms.map(arm => [
        arm.name,
        summarizeWindows(windows, (window, p) => getLatency(window, arm, p)),
      ]),
    ),
    failed: countFailures(windows),
    added: summarizeWindows(windows, getAddedLatency(pair)),
    addedOwn: summarizeWindows(windows, getAddedLatency(own)),
    addedBare: summarizeWindows(windows, getAddedLatency(bareTwo)),
    addedOverBare: summarizeAddedRatio(pair, bareTwo),
    addedOwnOverBare: summarizeAddedRatio(own, bareOne),
  };
}

export interface ChainReport {
  readonly plan: LatencyPlan;
  readonly depth: number;
  readonly failed: number;
  /** Added to the whole chain. */
  readonly added: PercentileSummaries;
  /** Added to each call of it, on average. */
  readonly addedPerCall: PercentileSummaries;
  readonly addedOverBare: PercentileSummaries;
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
  const getAddedLatency =
    (arm: Arm) => (window: ResultsByArm, percentile: number) =>
      getLatency(window, arm, percentile) -
      getLatency(window, direct, percentile);
  return {
    plan,
    depth: CHAIN_DEPTH,
    failed: countFailures(windows),
    added: summarizeWindows(windows, getAddedLatency(pair)),
    addedPerCall: summarizeWindows(
      windows,
      (window, p) => getAddedLatency(pair)(window, p) / CHAIN_DEPTH,
    ),
    addedOverBare: divideByMedian(
      summarizeWindows(windows, getAddedLatency(pair)),
      summarizeWindows(windows, getAddedLatency(bareTwo)),
    ),
  };
}
