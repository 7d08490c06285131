/** Compares what callers were told with what the upstreams journalled. */
import {UpstreamAnswerSchema} from '../upstream/answers.js';
import {JournalEntry} from '../upstream/journal.js';
import {LoadRecord} from './load.js';

/** Paths of requests that broke a promise; all empty when all were kept. */
export interface Audit {
  /** Non-idempotent requests that ran more than once. */
  readonly doubleRuns: readonly string[];
  /** Told not run, and yet they ran or may have. */
  readonly falseNotRuns: readonly string[];
  /** Told whole, and yet no upstream finished them. */
  readonly falseAnswers: readonly string[];
  /** Got an answer that belongs to another request, or part of one. */
  readonly wrongAnswers: readonly string[];
}

/**
 * Audits requests whose paths are unique to each.
 * @param records - What callers got.
 * @param journal - What all upstreams ran.
 * @returns The broken promises.
 */
export function auditRecords(
  records: readonly LoadRecord[],
  journal: readonly JournalEntry[],
): Audit {
  const runs = groupRuns(journal);
  const charges = records.filter(({call}) => call.method === 'POST');
  return {
    doubleRuns: [...new Set(charges.map(getPath))].filter(
      path => (runs.get(path)?.length ?? 0) > 1,
    ),
    falseNotRuns: records
      .filter(record => isToldNotRun(record) && runs.has(getPath(record)))
      .map(getPath),
    falseAnswers: records
      .filter(record => isToldAnswered(record) && !hasFinished(record, runs))
      .map(getPath),
    wrongAnswers: records.filter(hasWrongAnswer).map(getPath),
  };
}

/**
 * Tells whether every promise was kept.
 * @param audit - The audit.
 * @returns True if so.
 */
export function isClean(audit: Audit): boolean {
  return Object.values(audit).every(
    (paths: readonly string[]) => paths.length === 0,
  );
}

type Runs = ReadonlyMap<string, readonly JournalEntry[]>;

/** Runs by path; one that was stopped before its effect is none. */
function groupRuns(journal: readonly JournalEntry[]): Runs {
  const runs = new Map<string, JournalEntry[]>();
  for (const entry of journal) {
    if (entry.cancelled === undefined) {
      const known = runs.get(entry.path);
      if (known === undefined) {
        runs.set(entry.path, [entry]);
      } else {
        known.push(entry);
      }
    }
  }
  return runs;
}

function getPath({call}: LoadRecord): string {
  return call.path;
}

function isToldNotRun({result}: LoadRecord): boolean {
  return result.kind === 'refused' && result.outcome === 'not-run';
}

function isToldAnswered({result}: LoadRecord): boolean {
  return result.kind === 'answered' && result.status === 200;
}

function hasFinished(record: LoadRecord, runs: Runs): boolean {
  const entries = runs.get(getPath(record)) ?? [];
  return entries.some(entry => entry.finishedAt !== undefined);
}

function hasWrongAnswer({call, result}: LoadRecord): boolean {
  if (result.kind === 'foreign') {
    return true;
  }
  if (result.kind !== 'answered' || result.status !== 200) {
    return false;
  }
  const answer = UpstreamAnswerSchema.safeParse(result.body);
  return !answer.success || answer.data.path !== call.path;
}
