/** Handles the results of dispatched attempts. */
import {createUnknownOutcomeRefusal} from '../failure_refusals.js';
import {createRefusal} from '../refusals.js';
import {Answer, Emit, FailureKind} from '../types.js';
import {AdmittedAttempt, releaseSlot} from './admission.js';
import {clearSuspect, recordCrash} from './crash_suspects.js';
import {
  DOWN_RETRY_AFTER_MS,
  dispatchQueued,
  finishAttempt,
  refuseNotRun,
} from './dispatching.js';
import {markKeyEnded} from './key_lifecycle.js';
import {Owner, OwnerView} from './owner_state.js';

/**
 * Time after a crash in which new attempts are refused. Connections to the dead
 * process may still look open, and a request sent over them would count as
 * interrupted by another crash.
 */
const CRASH_PAUSE_MS = 100;

/** HTTP status with which an upstream sheds load. */
const LOAD_SHED_STATUS = 503;

/**
 * Handles the upstream's complete answer.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param attemptId - The attempt.
 * @param answer - The answer.
 * @param emit - Receives the effects.
 */
export function handleUpstreamAnswer(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  answer: Answer,
  emit: Emit,
): void {
  // An upstream that sheds load has not run the request.
  const wasRun = answer.status !== LOAD_SHED_STATUS;
  const sample = wasRun ? 'answered' : 'nothing';
  const ended = releaseSlot(owner.admission, attemptId, sample, view.at);
  if (ended === undefined) {
    return;
  }
  if (wasRun) {
    recordUpstreamUp(owner, ended, view.at);
    clearSuspect(view.suspects, ended.attempt.fingerprint, emit);
  }
  const waiters = markKeyEnded(owner, view, ended.attempt, answer);
  for (const id of [attemptId, ...waiters]) {
    finishAttempt(owner, view, id, answer, emit);
  }
  dispatchQueued(owner, view, emit);
}

/**
 * Handles the failure of a dispatched attempt.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param attemptId - The attempt.
 * @param failure - How it failed.
 * @param emit - Receives the effects.
 */
export function handleUpstreamFailure(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  failure: FailureKind,
  emit: Emit,
): void {
  const sample = failure === 'timeout' ? 'cut' : 'nothing';
  const ended = releaseSlot(owner.admission, attemptId, sample, view.at);
  if (ended === undefined) {
    return;
  }
  const {attempt} = ended;
  if (failure === 'connect') {
    refuseUpstreamDown(owner, view, [ended], emit);
    dispatchQueued(owner, view, emit);
    return;
  }
  if (failure === 'reset') {
    recordUpstreamCrash(owner, view, ended, emit);
  }
  const waiters = markKeyEnded(owner, view, attempt, 'in-doubt');
  const refusal = createUnknownOutcomeRefusal(failure);
  for (const id of [attemptId, ...waiters]) {
    finishAttempt(owner, view, id, refusal, emit);
  }
  dispatchQueued(owner, view, emit);
}

function refuseUpstreamDown(
  owner: Owner,
  view: OwnerView,
  notRun: readonly AdmittedAttempt[],
  emit: Emit,
): void {
  const refusal = createRefusal('upstream_down', DOWN_RETRY_AFTER_MS);
  for (const {attempt} of notRun) {
    refuseNotRun(owner, view, attempt, refusal, emit);
  }
}

function recordUpstreamUp(
  owner: Owner,
  ended: AdmittedAttempt,
  at: number,
): void {
  // A dispatch from before the crash is no evidence that the new process is up.
  if ((ended.dispatchNumber ?? 0) > owner.crashedDispatchNumber) {
    owner.admission.upSince ??= at;
  }
}

function recordUpstreamCrash(
  owner: Owner,
  view: OwnerView,
  ended: AdmittedAttempt,
  emit: Emit,
): void {
  // All attempts dispatched before a crash was noticed belong to that crash.
  if ((ended.dispatchNumber ?? 0) > owner.crashedDispatchNumber) {
    owner.crashedDispatchNumber = owner.admission.dispatchCount;
    owner.crashCount += 1;
    owner.admission.upSince = undefined;
    owner.pausedUntil = view.at + CRASH_PAUSE_MS;
    refuseUpstreamDown(owner, view, owner.admission.queue.splice(0), emit);
  }
  const {id, startedAt, limits} = view.settings;
  const crash = `${id}/${startedAt}/${owner.crashCount}`;
  const expiresAt = view.at + limits.quarantineMs;
  const {fingerprint} = ended.attempt;
  const isOnlySuspect = ended.suspect;
  recordCrash(
    view.suspects,
    fingerprint,
    {crash, isOnlySuspect, expiresAt},
    emit,
  );
}
