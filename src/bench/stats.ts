/** Summaries of measured values. */
import {build, Histogram} from 'hdr-histogram-js';

const NS_PER_MS = 1_000_000;
const MAX_TRACKABLE_NS = 60_000 * NS_PER_MS;
const SIGNIFICANT_DIGITS = 3;

/** Median and range of one figure over the repetitions of a run. */
export interface SampleSummary {
  readonly median: number;
  readonly min: number;
  readonly max: number;
  readonly samples: number;
}

/** Latencies of one arm of an experiment. */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    highestTrackableValue: MAX_TRACKABLE_NS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  /**
   * Adds one latency.
   * @param ms - Milliseconds since the scheduled start.
   */
  record(ms: number): void {
    const ns = Math.max(1, Math.round(ms * NS_PER_MS));
    this.histogram.recordValue(Math.min(ns, MAX_TRACKABLE_NS));
  }

  /**
   * Reads a percentile.
   * @param percentile - Such as 99.
   * @returns Milliseconds.
   */
  getPercentile(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / NS_PER_MS;
  }

  get count(): number {
    return this.histogram.totalCount;
  }
}

/**
 * Summarizes values.
 * @param values - At least one.
 * @returns Median, range and count; NaN where there is no value.
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
 * Reads a quantile by the nearest rank.
 * @param sorted - Values in rising order.
 * @param fraction - From 0 to 1.
 * @returns The value; for an even count's median, the mean of the middle two.
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
 * Fits a line by least squares.
 * @param points - Pairs of x and y.
 * @returns Slope and intercept.
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
 * Rounds for a report.
 * @param value - The value.
 * @param digits - Digits after the point.
 * @returns The rounded value, or null for JSON where it is not finite.
 */
export function round(value: number, digits = 3): number | null {
  return Number.isFinite(value) ? Number(value.toFixed(digits)) : null;
}
