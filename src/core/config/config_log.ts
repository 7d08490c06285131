/**
 * The proxy's copy of the submission log: what it has folded (`latest`) and
 * what it has put in force (`active`), which may be a step behind.
 */
import {Submission} from '../../model/config.js';
import {CatchUp, FoldState} from '../../model/fold_state.js';
import {Emit} from '../types.js';
import {foldSubmission, INITIAL_FOLD_STATE} from './fold.js';
import {getDigestPrefix, isHalted} from './digests.js';
import {checkReferences} from './validate.js';
import {createRoutingTable, RoutingTable} from './routing_table.js';

/** Submissions kept for peers that are a little behind. */
const MAX_KEPT_SUBMISSIONS = 256;

/** Submissions kept beyond a gap until the gap is filled. */
const MAX_OUT_OF_ORDER = 1_024;

/** Bytes of submissions in one answer to a pull, unless one is larger. */
const MAX_CATCH_UP_BYTES = 512 * 1_024;

export interface ConfigLog {
  latest: FoldState;
  active: FoldState;
  /** Built from `active`; replaced whole, never edited. */
  table: RoutingTable;
  /** When `active` was put in force, in Unix milliseconds. */
  adoptedAt: number;
  /** The last submissions up to `latest`, oldest first, without gaps. */
  readonly recentSubmissions: Submission[];
  /** Submissions that arrived ahead of a missing one, by sequence. */
  readonly outOfOrder: Map<number, Submission>;
  /** States folded since `active`, oldest first. */
  readonly pendingStates: FoldState[];
  /** Digest of each recent sequence number. */
  readonly digests: Map<number, string>;
  /** Whether each compared peer agrees with our digest. */
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
 * Folds submissions that may be old, repeated, crossed or ahead of a gap.
 * @param log - The log.
 * @param submissions - Submissions in any order.
 * @param emit - Takes counters and log lines.
 * @returns The submissions that were new and have been folded, in order.
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
 * Takes a folded state from a peer where it is newer than ours.
 * @param log - The log.
 * @param state - The peer's state.
 * @param emit - Takes counters.
 * @returns True where the log advanced.
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
 * Puts a folded state in force: one assignment swaps the whole table.
 * @param log - The log.
 * @param state - A state at or above the one in force.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes counters and log lines.
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
 * Forgets all that was folded, so that a proxy that does not serve yet can
 * start over from another peer. What is in force stays.
 * @param log - The log.
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
 * Answers a peer that asks for what follows a sequence number.
 * @param log - The log.
 * @param afterSequence - The last sequence number that the peer has folded.
 * @param digest - The peer's digest at that sequence, where it sent one.
 * @returns Only what is in force here: submissions where they are kept, and
 *     the folded state otherwise; nothing to a peer that disagrees, because it
 *     would not take it.
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
 * Gets kept submissions of a range.
 * @param log - The log.
 * @param afterSequence - The sequence before the first.
 * @param upToSequence - The last sequence.
 * @returns Those that are kept, in order.
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

/** Keeps the first submissions that fit; the peer asks again for the rest. */
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
