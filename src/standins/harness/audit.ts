/** Compares what callers were told with what the upstreams journalled. */
import {UpstreamAnswerSchema} from '../upstream/answers.js';
import {JournalEntry} from '../upstream/journal.js';
import {LoadRecord} from './load_generator.js';

/** Paths of requests that broke a promise; all empty when all were kept. */
export interface Audit {
  /** Non-idempotent requests that ran more than once. */
  readonly duplicateExecutions: readonly string[];
  /** Told not run, and yet they ran or may have. */
  readonly falseNotRunReports: readonly string[];
  /** Told whole, and yet no upstream finished them. */
  readonly unfinishedAnswers: readonly string[];
  /** Got an answer that belongs to another request, or part of one. */
  readonly mismatchedAnswers: readonly string[];
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
  const runs = groupEntriesByPath(journal);
  const nonIdempotent = records.filter(({call}) => call.method === 'POST');
  return {
    duplicateExecutions: [...new Set(nonIdempotent.map(getPath))].filter(
      path => (runs.get(path)?.length ?? 0) > 1,
    ),
    falseNotRunReports: records
      .filter(record => isReportedNotRun(record) && runs.has(getPath(record)))
      .map(getPath),
    unfinishedAnswers: records
      .filter(
        record => isReportedAnswered(record) && !hasFinished(record, runs),
      )
      .map(getPath),
    mismatchedAnswers: records.filter(hasMismatchedAnswer).map(getPath),
  };
}

/**
 * Tells whether every promise was kept.
 * @param audit - The audit.
 * @returns True if so.
 */
export function hasNoViolations(audit: Audit): boolean {
  return Object.values(audit).every(
    (paths: readonly string[]) => paths.length === 0,
  );
}

type EntriesByPath = ReadonlyMap<string, readonly JournalEntry[]>;

/** Runs by path; one that was stopped before its effect is none. */
function groupEntriesByPath(journal: readonly JournalEntry[]): EntriesByPath {
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

function isReportedNotRun({result}: LoadRecord): boolean {
  return result.kind === 'refused' && result.outcome === 'not-run';
}

function isReportedAnswered({result}: LoadRecord): boolean {
  return result.kind === 'answered' && result.status === 200;
}

function hasFinished(record: LoadRecord, runs: EntriesByPath): boolean {
  const entries = runs.get(getPath(record)) ?? [];
  return entries.some(entry => entry.finishedAt !== undefined);
}

function hasMismatchedAnswer({call, result}: LoadRecord): boolean {
  if (result.kind === 'foreign') {
    return true;
  }
  if (result.kind !== 'answered' || result.status !== 200) {
    return false;
  }
  const answer = UpstreamAnswerSchema.safeParse(result.body);
  return !answer.success || answer.data.path !== call.path;
}
