/** Formats results as tables of medians and ranges. */
import {FAULTS} from './faults.js';
import {MEASURES, Measures} from './measures.js';
import {ExperimentResult} from './run_experiments.js';

const COLUMNS = Object.keys(MEASURES) as Array<keyof Measures>;

/**
 * Formats results as Markdown, with one table for each fault. Each cell shows
 * the median over the seeds, and the range if the values differ.
 * @param results - The results.
 * @returns The lines.
 */
export function createTables(results: readonly ExperimentResult[]): string[] {
  const lines: string[] = [];
  for (const {name, title} of FAULTS) {
    const rows = results.filter(({fault}) => fault === name);
    if (rows.length === 0) {
      continue;
    }
    lines.push('', `### ${title}`, '', formatRow(['candidate', ...COLUMNS]));
    lines.push(formatRow(['---', ...COLUMNS.map(() => '--:')]));
    for (const {candidate, runs} of rows) {
      const figures = COLUMNS.map(column =>
        formatMedianAndRange(runs.map(run => run[column])),
      );
      lines.push(formatRow([candidate, ...figures]));
    }
  }
  return lines;
}

function formatRow(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

function formatMedianAndRange(values: readonly number[]): string {
  const sorted = [...values].sort((a, b) => a - b);
  const median = getMedian(sorted);
  const first = sorted[0];
  const last = sorted[sorted.length - 1];
  const range = `${formatNumber(first)}-${formatNumber(last)}`;
  return first === last
    ? formatNumber(median)
    : `${formatNumber(median)} (${range})`;
}

/**
 * Computes the median.
 * @param sorted - Values in ascending order, at least one.
 * @returns The middle value, or the mean of the two middle values.
 */
export function getMedian(sorted: readonly number[]): number {
  const middle = (sorted.length - 1) / 2;
  return (sorted[Math.floor(middle)] + sorted[Math.ceil(middle)]) / 2;
}

function formatNumber(value: number): string {
  return value.toFixed(value >= 100 ? 0 : 1);
}
