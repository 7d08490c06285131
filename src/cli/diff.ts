/** The `diff` command: shows what changed between two versions. */
import {Result} from 'neverthrow';
import {computeDigest} from '../core/hashing.js';
import {Config} from '../model/config.js';
import {CliError, EXIT_CODES} from './errors.js';
import {History, resolveVersion} from './history.js';
import {renderTable, Report} from './report.js';

/** Sections of a configuration, in the order in which they are compared. */
const ENTRY_KINDS = ['services', 'upstreams', 'routes'] as const;

/** An entry of the configuration that differs, with the changed fields. */
export interface EntryChange {
  readonly entry: (typeof ENTRY_KINDS)[number];
  readonly name: string;
  readonly change: 'added' | 'removed' | 'changed';
  readonly fields: readonly FieldChange[];
}

/** Old and new value of a field; undefined if the field is absent. */
export interface FieldChange {
  readonly field: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/**
 * Compares two configurations.
 * @param before - The earlier configuration.
 * @param after - The later configuration.
 * @returns The entries that differ, by section and then sorted by name.
 */
export function diffConfigs(before: Config, after: Config): EntryChange[] {
  return ENTRY_KINDS.flatMap(entry => {
    const names = new Set([
      ...Object.keys(before[entry]),
      ...Object.keys(after[entry]),
    ]);
    return [...names]
      .sort()
      .map(name => diffEntry(entry, name, before, after))
      .filter(change => change !== undefined);
  });
}

function diffEntry(
  entry: EntryChange['entry'],
  name: string,
  before: Config,
  after: Config,
): EntryChange | undefined {
  const old: object | undefined = before[entry][name];
  const current: object | undefined = after[entry][name];
  const fields = diffFields(old ?? {}, current ?? {});
  if (old === undefined) {
    return {entry, name, change: 'added', fields};
  }
  if (current === undefined) {
    return {entry, name, change: 'removed', fields};
  }
  return fields.length === 0
    ? undefined
    : {entry, name, change: 'changed', fields};
}

function diffFields(before: object, after: object): FieldChange[] {
  const old = new Map<string, unknown>(Object.entries(before));
  const current = new Map<string, unknown>(Object.entries(after));
  return [...new Set([...old.keys(), ...current.keys()])]
    .sort()
    .map(field => ({field, before: old.get(field), after: current.get(field)}))
    .filter(change => !isDeepEqual(change.before, change.after));
}

/** Compares JSON values by digest, so that the order of keys is ignored. */
function isDeepEqual(a: unknown, b: unknown): boolean {
  return (
    a === b ||
    (a !== undefined &&
      b !== undefined &&
      computeDigest(a) === computeDigest(b))
  );
}

function renderField({field, before, after}: FieldChange): string {
  const parts = [before, after].map(value =>
    value === undefined ? '-' : JSON.stringify(value),
  );
  return `${field}: ${parts.join(' -> ')}`;
}

/**
 * Renders changes as a table.
 * @param changes - The changes.
 * @returns The table, or a sentence if there are no changes.
 */
export function renderChanges(changes: readonly EntryChange[]): string {
  if (changes.length === 0) {
    return 'No entry differs.';
  }
  return renderTable(
    ['entry', 'name', 'change', 'fields'],
    changes.map(({entry, name, change, fields}) => [
      entry,
      name,
      change,
      fields.map(renderField).join('\n'),
    ]),
  );
}

/**
 * Compares two versions of a history.
 * @param history - The history.
 * @param from - The earlier version.
 * @param to - The later version.
 * @returns The changes, or a `version_unknown` error.
 */
export function diffVersions(
  history: History,
  from: number,
  to: number,
): Result<Report, CliError> {
  return resolveVersion(history, from).andThen(before =>
    resolveVersion(history, to).map(after => {
      const changes = diffConfigs(before.config, after.config);
      return {
        exitCode: EXIT_CODES.ok,
        data: {from, to, changes},
        text: renderChanges(changes),
      };
    }),
  );
}
