/** Dispatches queued attempts, and finishes attempts that will not run. */
import {Attempt} from '../../model/peer.js';
import {Refusal, createRefusal} from '../refusals.js';
import {Answer, Emit} from '../types.js';
import {removeExpired, tryStartNext} from './admission.js';
import {markKeyEnded, markKeyRunning} from './key_lifecycle.js';
import {Owner, OwnerView, getLoadReport, getOwnService} from './owner_state.js';

/**
 * Refuses an attempt that was not run. Its key is closed first, so that the
 * refusal stays true: no later attempt can run under the key.
 */
export function refuseNotRun(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  refusal: Refusal,
  emit: Emit,
): void {
  const waiters = markKeyEnded(owner, view, attempt, 'never-ran');
  if (attempt.key !== undefined) {
    emit({kind: 'count', counter: 'key_closed', reason: refusal.reason});
  }
  for (const attemptId of [attempt.attemptId, ...waiters]) {
    finishAttempt(owner, view, attemptId, refusal, emit);
  }
}

/** Dispatches queued attempts while slots are free. */
export function dispatchQueued(
  owner: Owner,
  view: OwnerView,
  emit: Emit,
): void {
  const service = getOwnService(view);
  if (service === undefined) {
    return;
  }
  refuseExpired(owner, view, emit);
  for (;;) {
    const {policy} = view.settings;
    const next = tryStartNext(owner.admission, service, policy, view.at);
    if (next === undefined) {
      return;
    }
    markKeyRunning(owner, next.attempt);
    emit({
      kind: 'dispatch',
      attemptId: next.attempt.attemptId,
      timeoutMs: next.deadlineAt - view.at,
    });
  }
}

/** Refuses attempts that expired, for example while the process was paused. */
function refuseExpired(owner: Owner, view: OwnerView, emit: Emit): void {
  const {policy} = view.settings;
  for (const {attempt} of removeExpired(owner.admission, policy, view.at)) {
    const refusal = createRefusal('deadline_too_short');
    refuseNotRun(owner, view, attempt, refusal, emit);
  }
}

export function finishAttempt(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  result: Answer | Refusal,
  emit: Emit,
): void {
  if (result.kind === 'refusal') {
    emit({kind: 'count', counter: 'attempt_refused', reason: result.reason});
  }
  const load = getLoadReport(owner, view);
  emit({kind: 'finishAttempt', attemptId, result, load});
}

/** Suggested wait before a retry at another upstream or key holder. */
export const LEAVING_RETRY_AFTER_MS = 100;

/** Suggested wait before a retry at an upstream or proxy that is not ready. */
export const DOWN_RETRY_AFTER_MS = 500;
