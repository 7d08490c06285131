/**
 * The proxy's copy of the submission log: the newest folded state (`latest`)
 * and the state in force (`active`), which may lag behind it.
 */
import {Submission} from '../../model/config.js';
import {CatchUp, FoldState} from '../../model/fold_state.js';
import {Emit} from '../types.js';
import {foldSubmission, INITIAL_FOLD_STATE} from './fold.js';
import {getDigestPrefix, isHalted} from './digests.js';
import {checkReferences} from './validate.js';
import {createRoutingTable, RoutingTable} from './routing_table.js';

/** Submissions kept for peers that are slightly behind. */
const MAX_KEPT_SUBMISSIONS = 256;

/** Submissions buffered beyond a gap in the sequence until it is filled. */
const MAX_OUT_OF_ORDER = 1_024;

/**
 * Limit of the submissions in one answer to a pull, in bytes of JSON. A single
 * larger submission is still sent.
 */
const MAX_CATCH_UP_BYTES = 512 * 1_024;

/** The submission log and the states folded from it. */
export interface ConfigLog {
  latest: FoldState;
  active: FoldState;
  /** Built from `active`; replaced as a whole, never modified. */
  table: RoutingTable;
  /** When the version of `active` was adopted, in Unix milliseconds. */
  adoptedAt: number;
  /** The last submissions up to `latest`, oldest first, without gaps. */
  readonly recentSubmissions: Submission[];
  /** Submissions that arrived ahead of a missing one, by sequence. */
  readonly outOfOrder: Map<number, Submission>;
  /** Folded states after `active`, up to `latest`, oldest first. */
  readonly pendingStates: FoldState[];
  /** Digests by sequence number, for the most recent ones. */
  readonly digests: Map<number, string>;
  /** Whether the last compared digest of each peer was equal to ours. */
  readonly peerAgreement: Map<string, boolean>;
}

export function createConfigLog(): ConfigLog {
  return {
    latest: INITIAL_FOLD_STATE,
    active: INITIAL_FOLD_STATE,
    table: createRoutingTable(0, INITIAL_FOLD_STATE.config),
    adoptedAt: 0,
    recentSubmissions: [],
    outOfOrder: new Map(),
    pendingStates: [],
    digests: new Map(),
    peerAgreement: new Map(),
  };
}

/**
 * Folds submissions that may be old, duplicated, out of order or beyond a gap
 * in the sequence. Those beyond a gap are buffered.
 * @param log - The log, which is updated.
 * @param submissions - Submissions in any order.
 * @param emit - Receives counters and log records.
 * @returns The submissions that have been folded, in order.
 */
export function acceptSubmissions(
  log: ConfigLog,
  submissions: readonly Submission[],
  emit: Emit,
): Submission[] {
  for (const submission of submissions) {
    const {sequence} = submission;
    if (sequence <= log.latest.sequence) {
      emit({kind: 'count', counter: 'update_ignored', reason: 'old'});
    } else if (log.outOfOrder.size < MAX_OUT_OF_ORDER) {
      log.outOfOrder.set(sequence, submission);
    } else {
      emit({kind: 'count', counter: 'update_ignored', reason: 'gap_full'});
    }
  }
  if (isHalted(log)) {
    return [];
  }
  const folded = foldConsecutive(log, emit);
  if (log.outOfOrder.size > 0) {
    emit({kind: 'count', counter: 'update_ignored', reason: 'gap'});
  }
  return folded;
}

/** Folds the buffered submissions that directly follow `latest`. */
function foldConsecutive(log: ConfigLog, emit: Emit): Submission[] {
  const folded: Submission[] = [];
  for (;;) {
    const next = log.outOfOrder.get(log.latest.sequence + 1);
    if (next === undefined) {
      return folded;
    }
    log.outOfOrder.delete(next.sequence);
    const state = foldSubmission(log.latest, next);
    if (state.isErr()) {
      return folded;
    }
    setLatest(log, state.value);
    log.recentSubmissions.push(next);
    if (log.recentSubmissions.length > MAX_KEPT_SUBMISSIONS) {
      log.recentSubmissions.shift();
    }
    folded.push(next);
    reportVerdict(state.value, emit);
  }
}

/** Counts the verdict on the last folded submission, and logs a refusal. */
function reportVerdict(state: FoldState, emit: Emit): void {
  const outcome = state.outcomes[state.outcomes.length - 1];
  if (outcome.verdict.kind === 'accepted') {
    emit({kind: 'count', counter: 'submission_accepted', reason: 'valid'});
    return;
  }
  const {code, detail} = outcome.verdict;
  emit({kind: 'count', counter: 'submission_refused', reason: code});
  emit({
    kind: 'log',
    level: 'warn',
    part: 'config',
    message: `Refused submission ${outcome.sequence} (${outcome.id}). ${detail}`,
  });
}

/**
 * Replaces the newest folded state by that of a peer if the latter is newer.
 * @param log - The log, which is updated.
 * @param state - The peer's state.
 * @param emit - Receives counters.
 * @returns True if the state was accepted.
 */
export function acceptFoldState(
  log: ConfigLog,
  state: FoldState,
  emit: Emit,
): boolean {
  if (state.sequence <= log.latest.sequence) {
    emit({kind: 'count', counter: 'update_ignored', reason: 'old_state'});
    return false;
  }
  if (isHalted(log)) {
    return false;
  }
  if (checkReferences(state.config).isErr()) {
    emit({kind: 'count', counter: 'update_ignored', reason: 'broken_state'});
    return false;
  }
  setLatest(log, state);
  log.recentSubmissions.length = 0;
  for (const sequence of log.outOfOrder.keys()) {
    if (sequence <= state.sequence) {
      log.outOfOrder.delete(sequence);
    }
  }
  foldConsecutive(log, emit);
  return true;
}

/** Makes a state the newest folded one and keeps its digest. */
function setLatest(log: ConfigLog, state: FoldState): void {
  log.pendingStates.push(state);
  if (log.pendingStates.length > MAX_KEPT_SUBMISSIONS) {
    log.pendingStates.shift();
  }
  log.latest = state;
  log.digests.set(state.sequence, state.digest);
  if (log.digests.size > MAX_KEPT_SUBMISSIONS) {
    const [oldest] = log.digests.keys();
    log.digests.delete(oldest);
  }
}

/**
 * Adopts a folded state, which puts it in force. One assignment replaces the
 * whole routing table.
 * @param log - The log, which is updated.
 * @param state - The state; one older than the state in force is ignored.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Receives counters and log records.
 */
export function adoptState(
  log: ConfigLog,
  state: FoldState,
  at: number,
  emit: Emit,
): void {
  if (state.sequence < log.active.sequence) {
    emit({kind: 'count', counter: 'update_ignored', reason: 'backwards'});
    return;
  }
  if (state.version !== log.active.version) {
    log.table = createRoutingTable(state.version, state.config);
    log.adoptedAt = at;
    emit({kind: 'count', counter: 'version_adopted', reason: 'announced'});
    emit({
      kind: 'log',
      level: 'info',
      part: 'config',
      message: `Version ${state.version} is in force.`,
    });
  }
  log.active = state;
  while (
    log.pendingStates.length > 0 &&
    log.pendingStates[0].sequence <= state.sequence
  ) {
    log.pendingStates.shift();
  }
}

/**
 * Discards everything folded after the state in force, so that a proxy that is
 * still starting can catch up from another peer.
 * @param log - The log, which is updated.
 */
export function resetToActive(log: ConfigLog): void {
  log.latest = log.active;
  log.recentSubmissions.length = 0;
  log.pendingStates.length = 0;
  log.outOfOrder.clear();
  log.digests.clear();
  log.peerAgreement.clear();
}

/**
 * Gets the answer to a peer that pulls what follows a sequence number. It goes
 * up to the state in force here, never beyond.
 * @param log - The log.
 * @param afterSequence - The last sequence number that the peer has folded.
 * @param digest - The peer's digest at that sequence, if it sent one.
 * @returns The submissions if they are all kept, and the folded state
 *     otherwise. No submissions if the peer's digest differs from ours.
 */
export function getCatchUp(
  log: ConfigLog,
  afterSequence: number,
  digest?: string,
): CatchUp {
  const own = getDigestPrefix(log, afterSequence);
  if (own !== undefined && digest !== undefined && own !== digest) {
    return {kind: 'submissions', submissions: []};
  }
  const submissions = getSubmissions(log, afterSequence, log.active.sequence);
  const missing = log.active.sequence - afterSequence;
  return submissions.length >= missing
    ? {kind: 'submissions', submissions: takeWithinSizeLimit(submissions)}
    : {kind: 'state', state: log.active};
}

/**
 * Gets the kept submissions of a range of sequence numbers.
 * @param log - The log.
 * @param afterSequence - The sequence before the first, exclusive.
 * @param upToSequence - The last sequence, inclusive.
 * @returns The kept submissions of the range, in order.
 */
export function getSubmissions(
  log: ConfigLog,
  afterSequence: number,
  upToSequence: number,
): Submission[] {
  return log.recentSubmissions.filter(
    ({sequence}) => sequence > afterSequence && sequence <= upToSequence,
  );
}

/** Gets the first submissions that fit; the peer pulls the rest later. */
function takeWithinSizeLimit(submissions: readonly Submission[]): Submission[] {
  let bytes = 0;
  let count = 0;
  for (const submission of submissions) {
    bytes += JSON.stringify(submission).length;
    if (count > 0 && bytes > MAX_CATCH_UP_BYTES) {
      break;
    }
    count += 1;
  }
  return submissions.slice(0, count);
}
