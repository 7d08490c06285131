/**
 * Measures the latency that the system adds to a call, compared with the
 * latency that bare hops add in the same windows.
 */
import {CallTopology, CHAIN_DEPTH} from './call_topology.js';
import {Arm, ArmResult, runWindow} from './open_loop.js';
import {summarizeSamples, SampleSummary} from './stats.js';

const REPORTED_PERCENTILES = [50, 99] as const;

/** Difference between the schedule seeds of consecutive windows. */
const SEED_STEP = 7_919;

const WARM_UP_WINDOW_MS = 1_000;

export interface LatencyPlan {
  /** Calls per second in each arm. */
  readonly rate: number;
  readonly windowMs: number;
  readonly repetitions: number;
  readonly seed: number;
}

/** A metric at p50 and p99, summarized over the repetitions. */
export interface PercentileSummaries {
  readonly p50: SampleSummary;
  readonly p99: SampleSummary;
}

export interface LatencyReport {
  readonly plan: LatencyPlan;
  /** Latency of each arm in milliseconds, by the arm's name. */
  readonly arms: Readonly<Record<string, PercentileSummaries>>;
  /** Number of failed calls in all arms. */
  readonly failed: number;
  /** Milliseconds added to a direct call by an entry and an owner process. */
  readonly added: PercentileSummaries;
  /** Milliseconds added by one process that is both entry and owner. */
  readonly addedOwn: PercentileSummaries;
  /** Milliseconds added by two bare hops. */
  readonly addedBare: PercentileSummaries;
  /** Ratio of `added` to the latency that two bare hops add. */
  readonly addedOverBare: PercentileSummaries;
  /** Ratio of `addedOwn` to the latency that one bare hop adds. */
  readonly addedOwnOverBare: PercentileSummaries;
}

/** Results of one window, by the arm's name. */
type ResultsByArm = ReadonlyMap<string, ArmResult>;

/**
 * Runs a warm-up window, whose results are dropped, and the measured windows.
 */
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

/** Computes a metric in each window and summarizes it over the windows. */
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
 * Divides each value by the divisor's median. Dividing window by window would
 * fail where the difference of two tail latencies is close to zero. The range
 * of the result is thus the range of the dividend only.
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
 * Measures single calls in all arms, interleaved in the same windows.
 * @param topology - The running processes.
 * @param plan - Rate, window length, repetitions and seed.
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
  /** Calls in each chain. */
  readonly depth: number;
  readonly failed: number;
  /** Milliseconds added to a whole chain. */
  readonly added: PercentileSummaries;
  /** Milliseconds added to each call of a chain, on average. */
  readonly addedPerCall: PercentileSummaries;
  /** Ratio of `added` to the latency that chains of bare hops add. */
  readonly addedOverBare: PercentileSummaries;
}

/**
 * Measures chains of nested calls, in which every call takes the same path.
 * @param topology - The running processes.
 * @param plan - Chains per second, window length, repetitions and seed.
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
