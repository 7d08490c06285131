/** Compares the results that callers got with the journals of the upstreams. */
import {UpstreamAnswerSchema} from '../upstream/answers.js';
import {JournalEntry} from '../upstream/journal.js';
import {LoadRecord} from './load_generator.js';

/** Paths of the requests that violate a guarantee, by guarantee. */
export interface Audit {
  /** Non-idempotent requests that were executed more than once. */
  readonly duplicateExecutions: readonly string[];
  /** Reported as not run, although they ran or may have run. */
  readonly falseNotRunReports: readonly string[];
  /** Answered with status 200, although no upstream finished them. */
  readonly unfinishedAnswers: readonly string[];
  /** Got a malformed answer, or the answer of another request. */
  readonly mismatchedAnswers: readonly string[];
}

/**
 * Checks the guarantees for requests that each have a path of their own.
 * @param records - The requests and the results that callers got.
 * @param journal - Journal entries of all upstreams.
 * @returns The violations.
 */
export function auditRecords(
  records: readonly LoadRecord[],
  journal: readonly JournalEntry[],
): Audit {
  const entriesByPath = groupEntriesByPath(journal);
  const nonIdempotent = records.filter(({call}) => call.method === 'POST');
  return {
    duplicateExecutions: [...new Set(nonIdempotent.map(getPath))].filter(
      path => (entriesByPath.get(path)?.length ?? 0) > 1,
    ),
    falseNotRunReports: records
      .filter(
        record =>
          isReportedNotRun(record) && entriesByPath.has(getPath(record)),
      )
      .map(getPath),
    unfinishedAnswers: records
      .filter(
        record =>
          isReportedAnswered(record) && !hasFinished(record, entriesByPath),
      )
      .map(getPath),
    mismatchedAnswers: records.filter(hasMismatchedAnswer).map(getPath),
  };
}

/**
 * Reports whether an audit found no violation.
 * @param audit - The audit.
 * @returns True if all its lists are empty.
 */
export function hasNoViolations(audit: Audit): boolean {
  return Object.values(audit).every(
    (paths: readonly string[]) => paths.length === 0,
  );
}

type EntriesByPath = ReadonlyMap<string, readonly JournalEntry[]>;

/** Groups entries by path, without work that was stopped before its effect. */
function groupEntriesByPath(journal: readonly JournalEntry[]): EntriesByPath {
  const entriesByPath = new Map<string, JournalEntry[]>();
  for (const entry of journal) {
    if (entry.cancelled === undefined) {
      const existing = entriesByPath.get(entry.path);
      if (existing === undefined) {
        entriesByPath.set(entry.path, [entry]);
      } else {
        existing.push(entry);
      }
    }
  }
  return entriesByPath;
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

function hasFinished(
  record: LoadRecord,
  entriesByPath: EntriesByPath,
): boolean {
  const entries = entriesByPath.get(getPath(record)) ?? [];
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
