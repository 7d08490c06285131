/** Takes what the upstream made of dispatched attempts. */
import {createLostRefusal} from '../failures.js';
import {createRefusal} from '../refusals.js';
import {Answer, Emit, FailureKind} from '../types.js';
import {AdmittedAttempt, endRunning} from './admission.js';
import {clearSuspect, noteCrash} from './crash_suspects.js';
import {
  DOWN_RETRY_AFTER_MS,
  finishAttempt,
  refuseUnrun,
  startQueued,
} from './dispatching.js';
import {markKeyEnded} from './key_protocol.js';
import {Owner, OwnerView} from './owner_state.js';

/**
 * Pause after a crash. Connections to the dead process may still look open,
 * and what is sent over them would count as cut by another crash.
 */
const CRASH_HOLD_MS = 100;

/** HTTP status by which an upstream sheds load. */
const SHED_STATUS = 503;

/**
 * Takes the upstream's whole answer.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attemptId - The attempt.
 * @param answer - The answer.
 * @param emit - Takes effects.
 */
export function takeUpstreamAnswer(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  answer: Answer,
  emit: Emit,
): void {
  // An upstream that sheds load has not run the request.
  const ran = answer.status !== SHED_STATUS;
  const evidence = ran ? 'answered' : 'nothing';
  const ended = endRunning(owner.admission, attemptId, evidence, view.at);
  if (ended === undefined) {
    return;
  }
  if (ran) {
    noteUpstreamUp(owner, ended, view.at);
    clearSuspect(view.suspects, ended.attempt.fingerprint, emit);
  }
  const waiters = markKeyEnded(owner, view, ended.attempt, answer);
  for (const id of [attemptId, ...waiters]) {
    finishAttempt(owner, view, id, answer, emit);
  }
  startQueued(owner, view, emit);
}

/**
 * Takes the failure of a dispatched attempt.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attemptId - The attempt.
 * @param failure - How it failed.
 * @param emit - Takes effects.
 */
export function takeUpstreamFailure(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  failure: FailureKind,
  emit: Emit,
): void {
  const evidence = failure === 'timeout' ? 'cut' : 'nothing';
  const ended = endRunning(owner.admission, attemptId, evidence, view.at);
  if (ended === undefined) {
    return;
  }
  const {attempt} = ended;
  if (failure === 'connect') {
    refuseDown(owner, view, [ended], emit);
    startQueued(owner, view, emit);
    return;
  }
  if (failure === 'reset') {
    noteUpstreamCrash(owner, view, ended, emit);
  }
  const waiters = markKeyEnded(owner, view, attempt, 'in-doubt');
  const refusal = createLostRefusal(failure);
  for (const id of [attemptId, ...waiters]) {
    finishAttempt(owner, view, id, refusal, emit);
  }
  startQueued(owner, view, emit);
}

function refuseDown(
  owner: Owner,
  view: OwnerView,
  unrun: readonly AdmittedAttempt[],
  emit: Emit,
): void {
  const refusal = createRefusal('upstream_down', DOWN_RETRY_AFTER_MS);
  for (const {attempt} of unrun) {
    refuseUnrun(owner, view, attempt, refusal, emit);
  }
}

function noteUpstreamUp(
  owner: Owner,
  ended: AdmittedAttempt,
  at: number,
): void {
  // What was dispatched before the crash says nothing of the new process.
  if ((ended.dispatchNumber ?? 0) > owner.crashedDispatch) {
    owner.admission.upSince ??= at;
  }
}

function noteUpstreamCrash(
  owner: Owner,
  view: OwnerView,
  ended: AdmittedAttempt,
  emit: Emit,
): void {
  // All that had been dispatched when one crash was noticed belongs to it.
  if ((ended.dispatchNumber ?? 0) > owner.crashedDispatch) {
    owner.crashedDispatch = owner.admission.dispatchCount;
    owner.crashCount += 1;
    owner.admission.upSince = undefined;
    owner.holdUntil = view.at + CRASH_HOLD_MS;
    refuseDown(owner, view, owner.admission.queue.splice(0), emit);
  }
  const {id, startedAt, limits} = view.settings;
  const crash = `${id}/${startedAt}/${owner.crashCount}`;
  const expiresAt = view.at + limits.quarantineMs;
  const {fingerprint} = ended.attempt;
  const sole = ended.suspect;
  noteCrash(view.suspects, fingerprint, {crash, sole, expiresAt}, emit);
}
