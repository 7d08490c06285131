/**
 * The fold over published submissions. Every proxy and the command line run
 * this same function, so the same sequence gives the same verdicts everywhere.
 */
import {err, ok, Result} from 'neverthrow';
import {Config, EMPTY_CONFIG, Submission} from '../../model/config.js';
import {FoldState, FormerKeyHolders, Verdict} from '../../model/fold_state.js';
import {getDigest} from '../hashing.js';
import {
  applyPatch,
  checkReferences,
  describeSubmissionError,
  parsePatch,
  SubmissionError,
} from './validate.js';

/** Outcomes that a fold state keeps for operators. */
const MAX_KEPT_OUTCOMES = 64;

/** Why a submission cannot be folded onto a state; nothing changes. */
export type FoldError =
  | {readonly kind: 'already_folded'; readonly sequence: number}
  | {
      readonly kind: 'sequence_gap';
      readonly expected: number;
      readonly found: number;
    };

export const INITIAL_FOLD_STATE: FoldState = {
  sequence: 0,
  version: 0,
  digest: getDigest('fireflysill'),
  config: EMPTY_CONFIG,
  formerHomes: [],
  outcomes: [],
};

/**
 * Decides what a submission would make of a configuration.
 * @param state - The state before it.
 * @param base - The version that the operator had seen.
 * @param patch - The published patch, not yet checked.
 * @returns The new configuration, or why the patch is refused.
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
 * Folds one submission: it is accepted whole or refused whole.
 * @param state - The state before it, which stays as it is.
 * @param submission - The next submission.
 * @returns The state after it, or why it is not the next one.
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
  // The code, not the wording, is chained: builds that word a refusal
  // differently still agree.
  const digest = getDigest(state.digest, submission, verdict.kind);
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

/** Adds the upstream sets that a version replaces; drops forgotten ones. */
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
    // Most changes leave the upstreams alone, and comparing them is dear.
    return kept;
  }
  const before = groupUpstreamsByService(state.config);
  const after = groupUpstreamsByService(config);
  for (const [service, upstreams] of before) {
    const current = after.get(service);
    if (getDigest(current ?? []) !== getDigest(upstreams)) {
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
