/** The `submissions` and `versions` commands. */
import {EXIT_CODES} from './errors.js';
import {DatedOutcome, History} from './history.js';
import {renderTable, renderTime, Report} from './report.js';

/** Selects the submissions to list. */
export interface OutcomeFilter {
  readonly id?: string;
  readonly refusedOnly?: boolean;
}

function renderVerdict({verdict}: DatedOutcome): string {
  return verdict.kind === 'accepted'
    ? `version ${verdict.version}`
    : `refused (${verdict.code}): ${verdict.detail}`;
}

/**
 * Lists submissions with their verdicts.
 * @param history - History of the published log.
 * @param filter - Selects the submissions.
 * @returns The list. If the filter has an identifier, the exit code is 1
 * unless that submission is in the list and was accepted.
 */
export function listSubmissions(
  history: History,
  filter: OutcomeFilter,
): Report {
  const outcomes = history.outcomes.filter(
    ({id, verdict}) =>
      (filter.id === undefined || filter.id === id) &&
      (filter.refusedOnly !== true || verdict.kind === 'refused'),
  );
  const isAccepted = outcomes.some(({verdict}) => verdict.kind === 'accepted');
  const isNegative = filter.id !== undefined && !isAccepted;
  return {
    exitCode: isNegative ? EXIT_CODES.negative : EXIT_CODES.ok,
    data: {sequence: history.latest.sequence, submissions: outcomes},
    text:
      outcomes.length === 0
        ? 'No submission matches; check the identifier with `fireflysill submissions`.'
        : renderTable(
            ['sequence', 'id', 'base', 'published', 'verdict'],
            outcomes.map(outcome => [
              outcome.sequence,
              outcome.id,
              outcome.base,
              renderTime(outcome.publishedAt),
              renderVerdict(outcome),
            ]),
          ),
  };
}

/**
 * Lists the versions with the submission that created each of them.
 * @param history - History of the published log.
 * @returns The list.
 */
export function listVersions(history: History): Report {
  const versions = history.outcomes.flatMap(outcome => {
    const {verdict, sequence, id, publishedAt} = outcome;
    return verdict.kind === 'accepted'
      ? [{version: verdict.version, sequence, id, publishedAt}]
      : [];
  });
  const {version, digest} = history.latest;
  return {
    exitCode: EXIT_CODES.ok,
    data: {latest: version, digest, versions},
    text: `${renderTable(
      ['version', 'sequence', 'id', 'published'],
      versions.map(entry => [
        entry.version,
        entry.sequence,
        entry.id,
        renderTime(entry.publishedAt),
      ]),
    )}\nLatest version ${version}, digest ${digest}.`,
  };
}
