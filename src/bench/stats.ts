/** Summarizes measured values. */
import {build, Histogram} from 'hdr-histogram-js';

const NS_PER_MS = 1_000_000;
const MAX_TRACKABLE_NS = 60_000 * NS_PER_MS;
const SIGNIFICANT_DIGITS = 3;

/** Median and range of a metric over the repetitions of a run. */
export interface SampleSummary {
  readonly median: number;
  readonly min: number;
  readonly max: number;
  /** Number of values. */
  readonly samples: number;
}

/** Records the latencies of one arm in a histogram. */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    highestTrackableValue: MAX_TRACKABLE_NS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  /**
   * Adds one latency. Values outside 1 ns to 60 s are clamped to that range.
   * @param ms - Milliseconds since the scheduled start.
   */
  record(ms: number): void {
    const ns = Math.max(1, Math.round(ms * NS_PER_MS));
    this.histogram.recordValue(Math.min(ns, MAX_TRACKABLE_NS));
  }

  /**
   * Reads a percentile.
   * @param percentile - From 0 to 100.
   * @returns The latency in milliseconds.
   */
  getPercentile(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / NS_PER_MS;
  }

  /** Number of recorded latencies. */
  get count(): number {
    return this.histogram.totalCount;
  }
}

/**
 * Summarizes the samples of a metric.
 * @param values - The samples in any order.
 * @returns The summary; median and range are NaN if there are no samples.
 */
export function summarizeSamples(values: readonly number[]): SampleSummary {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    median: getQuantile(sorted, 0.5),
    min: sorted[0] ?? NaN,
    max: sorted[sorted.length - 1] ?? NaN,
    samples: sorted.length,
  };
}

/**
 * Computes a quantile by the nearest-rank method.
 * @param sorted - Values in ascending order.
 * @param fraction - From 0 to 1.
 * @returns The quantile; the median of an even number of values is the mean of
 * the middle two. NaN if there are no values.
 */
export function getQuantile(
  sorted: readonly number[],
  fraction: number,
): number {
  if (sorted.length === 0) {
    return NaN;
  }
  if (fraction === 0.5 && sorted.length % 2 === 0) {
    const upperMiddle = sorted.length / 2;
    return (sorted[upperMiddle - 1] + sorted[upperMiddle]) / 2;
  }
  const rank = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.min(sorted.length - 1, Math.max(0, rank))];
}

/**
 * Fits a line to points by the method of least squares.
 * @param points - Pairs of x and y.
 * @returns Slope and intercept; the slope is 0 if all points have the same x.
 */
export function fitLine(
  points: ReadonlyArray<readonly [x: number, y: number]>,
): {slope: number; intercept: number} {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return {slope, intercept: meanY - slope * meanX};
}

/**
 * Rounds a value for the JSON report.
 * @param value - The value.
 * @param digits - Number of decimal places.
 * @returns The rounded value, or null if it is not finite.
 */
export function round(value: number, digits = 3): number | null {
  return Number.isFinite(value) ? Number(value.toFixed(digits)) : null;
}
