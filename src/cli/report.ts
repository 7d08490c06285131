/** The report of a command, as data for programs and as text for people. */
import Table from 'cli-table3';
import {ExitCode} from './errors.js';

/** Outcome of a command that ran without an error. */
export interface Report {
  readonly exitCode: ExitCode;
  /** Printed with `--json`. */
  readonly data: unknown;
  /** Printed without `--json`. */
  readonly text: string;
}

const PLAIN_STYLE = {head: [], border: [], compact: true};

/**
 * Renders a table without colours, so that its output can be piped.
 * @param head - Column titles.
 * @param rows - Cells of each row.
 * @returns The table.
 */
export function renderTable(
  head: readonly string[],
  rows: ReadonlyArray<ReadonlyArray<string | number>>,
): string {
  const table = new Table({head: [...head], style: PLAIN_STYLE});
  table.push(...rows.map(row => row.map(String)));
  return table.toString();
}

/**
 * Renders a table of names and values.
 * @param fields - Name and value of each row.
 * @returns A table without column titles.
 */
export function renderFields(
  fields: ReadonlyArray<readonly [name: string, value: string]>,
): string {
  const table = new Table({style: PLAIN_STYLE});
  table.push(...fields.map(field => [...field]));
  return table.toString();
}

/**
 * Renders a duration.
 * @param ms - Milliseconds.
 * @returns The duration, such as `850 ms`, `12 s` or `3 h 4 min`.
 */
export function renderDuration(ms: number): string {
  if (ms < 1_000) {
    return `${Math.round(ms)} ms`;
  }
  const seconds = Math.floor(ms / 1_000);
  if (seconds < 60) {
    return `${seconds} s`;
  }
  const minutes = Math.floor(seconds / 60);
  return minutes < 60
    ? `${minutes} min ${seconds % 60} s`
    : `${Math.floor(minutes / 60)} h ${minutes % 60} min`;
}

/**
 * Renders a date and time in UTC.
 * @param at - Unix milliseconds.
 * @returns The time in ISO 8601 format, or `unknown`.
 */
export function renderTime(at: number | undefined): string {
  return at === undefined || at <= 0 ? 'unknown' : new Date(at).toISOString();
}
