/** Versions and verdicts that result from the published log. */
import {err, ok, Result} from 'neverthrow';
import {foldSubmission, INITIAL_FOLD_STATE} from '../core/config/fold.js';
import {Config} from '../model/config.js';
import {FoldState, SubmissionOutcome} from '../model/fold_state.js';
import {CliError} from './errors.js';
import {PublishedLog} from './published_log.js';

/** Outcome of a submission with its time of publication. */
export interface DatedOutcome extends SubmissionOutcome {
  /** Unix milliseconds; undefined if read from a saved state. */
  readonly publishedAt?: number;
}

/** Result of folding the published log. */
export interface History {
  /** The state after the last submission. */
  readonly latest: FoldState;
  /** Oldest first. A saved state contains only the most recent outcomes. */
  readonly outcomes: readonly DatedOutcome[];
  /** Configurations by version. A saved state contains only the latest. */
  readonly configs: ReadonlyMap<number, Config>;
}

/**
 * Folds the published log with the same code as a proxy.
 * @param log - The published log.
 * @returns Its history, or a `log_incomplete` error.
 */
export function createHistory(log: PublishedLog): Result<History, CliError> {
  if (log.kind === 'state') {
    const {state} = log;
    return ok({
      latest: state,
      outcomes: state.outcomes,
      configs: new Map([[state.version, state.config]]),
    });
  }
  let latest = INITIAL_FOLD_STATE;
  const outcomes: DatedOutcome[] = [];
  const configs = new Map([[latest.version, latest.config]]);
  for (const submission of log.submissions) {
    const folded = foldSubmission(latest, submission);
    if (folded.isErr()) {
      const expected = latest.sequence + 1;
      const found = submission.sequence;
      return err({kind: 'log_incomplete', expected, found});
    }
    latest = folded.value;
    configs.set(latest.version, latest.config);
    const {publishedAt} = submission;
    outcomes.push({
      ...latest.outcomes[latest.outcomes.length - 1],
      publishedAt,
    });
  }
  return ok({latest, outcomes, configs});
}

/**
 * Finds the configuration of a version.
 * @param history - The history.
 * @param version - The version, or undefined for the latest.
 * @returns The version and its configuration, or a `version_unknown` error.
 */
export function resolveVersion(
  history: History,
  version: number = history.latest.version,
): Result<{version: number; config: Config}, CliError> {
  const config = history.configs.get(version);
  if (config !== undefined) {
    return ok({version, config});
  }
  const known = [...history.configs.keys()];
  return err({
    kind: 'version_unknown',
    version,
    first: Math.min(...known),
    last: Math.max(...known),
  });
}
