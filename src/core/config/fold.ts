/**
 * The fold over the published submissions. It is deterministic, and all proxies
 * and the command line use it, so the same submissions yield the same verdicts
 * and the same configuration everywhere.
 */
import {err, ok, Result} from 'neverthrow';
import {Config, EMPTY_CONFIG, Submission} from '../../model/config.js';
import {FoldState, FormerKeyHolders, Verdict} from '../../model/fold_state.js';
import {computeDigest} from '../hashing.js';
import {
  applyPatch,
  checkReferences,
  describeSubmissionError,
  parsePatch,
  SubmissionError,
} from './validate.js';

/** Most recent outcomes that a fold state keeps, for operators. */
const MAX_KEPT_OUTCOMES = 64;

/** Why a submission is not the next one after a state. */
export type FoldError =
  | {readonly kind: 'already_folded'; readonly sequence: number}
  | {
      readonly kind: 'sequence_gap';
      readonly expected: number;
      readonly found: number;
    };

/** The state before the first submission. */
export const INITIAL_FOLD_STATE: FoldState = {
  sequence: 0,
  version: 0,
  digest: computeDigest('fireflysill'),
  config: EMPTY_CONFIG,
  formerHomes: [],
  outcomes: [],
};

/**
 * Computes the configuration that a submission would yield.
 * @param state - The state before the submission.
 * @param base - The version that the patch was made against.
 * @param patch - The published patch, not yet validated.
 * @returns The new configuration, or why the submission is refused.
 */
export function tryPatch(
  state: Pick<FoldState, 'version' | 'config'>,
  base: number,
  patch: unknown,
): Result<Config, SubmissionError> {
  if (base !== state.version) {
    return err({kind: 'stale_base', base, version: state.version});
  }
  return parsePatch(patch)
    .andThen(parsed => applyPatch(state.config, parsed))
    .andThen(checkReferences);
}

/**
 * Folds one submission, which is accepted or refused as a whole.
 * @param state - The state before the submission, which is not changed.
 * @param submission - The next submission.
 * @returns The state after the submission, or why it is not the next one.
 */
export function foldSubmission(
  state: FoldState,
  submission: Submission,
): Result<FoldState, FoldError> {
  const expected = state.sequence + 1;
  if (submission.sequence < expected) {
    return err({kind: 'already_folded', sequence: submission.sequence});
  }
  if (submission.sequence > expected) {
    return err({
      kind: 'sequence_gap',
      expected,
      found: submission.sequence,
    });
  }
  const patched = tryPatch(state, submission.base, submission.patch);
  const verdict: Verdict = patched.match<Verdict>(
    () => ({kind: 'accepted', version: state.version + 1}),
    error => ({
      kind: 'refused',
      code: error.kind,
      detail: describeSubmissionError(error),
    }),
  );
  const outcome = {
    sequence: submission.sequence,
    id: submission.id,
    base: submission.base,
    verdict,
  };
  // Only the kind of the verdict enters the digest, not the text of a refusal,
  // so releases with different texts compute the same digest.
  const digest = computeDigest(state.digest, submission, verdict.kind);
  const config = patched.unwrapOr(state.config);
  const version = state.version + (patched.isOk() ? 1 : 0);
  return ok({
    sequence: submission.sequence,
    version,
    digest,
    config,
    formerHomes: patched.isOk()
      ? updateFormerKeyHolders(state, config, version, submission.publishedAt)
      : state.formerHomes,
    outcomes: [...state.outcomes, outcome].slice(-MAX_KEPT_OUTCOMES),
  });
}

/**
 * Adds the upstream sets that a version replaces. Removes those that were
 * replaced more than two key lifetimes ago or whose service no longer exists.
 */
function updateFormerKeyHolders(
  state: FoldState,
  config: Config,
  version: number,
  publishedAt: number,
): FormerKeyHolders[] {
  const kept = state.formerHomes.filter(holders => {
    const service = config.services[holders.service];
    return (
      service !== undefined &&
      publishedAt - holders.untilMs <= 2 * service.keyLifetimeMs
    );
  });
  if (config.upstreams === state.config.upstreams) {
    // Most patches keep the upstreams, and the comparison below is expensive.
    return kept;
  }
  const before = groupUpstreamsByService(state.config);
  const after = groupUpstreamsByService(config);
  for (const [service, upstreams] of before) {
    const current = after.get(service);
    if (computeDigest(current ?? []) !== computeDigest(upstreams)) {
      kept.push({
        service,
        untilVersion: version,
        untilMs: publishedAt,
        upstreams,
      });
    }
  }
  return kept;
}

/** Groups upstreams by service, in identifier order. */
function groupUpstreamsByService(
  config: Config,
): Map<string, FormerKeyHolders['upstreams']> {
  const groups = new Map<string, FormerKeyHolders['upstreams']>();
  for (const id of Object.keys(config.upstreams).sort()) {
    const {service, peerAddress} = config.upstreams[id];
    const group = groups.get(service) ?? [];
    group.push({id, peerAddress});
    groups.set(service, group);
  }
  return groups;
}
