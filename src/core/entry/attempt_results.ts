/** Handles the results of attempts: answers, retries or refuses the call. */
import {createUnknownOutcomeRefusal} from '../failure_refusals.js';
import {LoadReport} from '../../model/peer.js';
import {Refusal, createRefusal} from '../refusals.js';
import {Answer, Emit, FailureKind} from '../types.js';
import {
  endAttempt,
  hasSharedKey,
  refuseCall,
  sendNextAttempt,
} from './attempts.js';
import {Call, removeCall} from './calls.js';
import {KEY_HOLDER_RETRY_MS} from './entry.js';
import {DEFAULT_RETRY_AFTER_MS, Entry, EntryView} from './entry_state.js';
import {requestKeyClose} from './key_close_requests.js';
import {
  UpstreamLoad,
  getOrCreateLoad,
  recordConnectionRefused,
  recordFailure,
  recordLoadReport,
  recordSuccess,
  recordTimeout,
} from './load_view.js';
import {tryReserveRetry} from './retries.js';

/**
 * Handles the result that an owner returned for an attempt.
 * @param entry - The entry's state.
 * @param view - State of the other parts, read-only.
 * @param attemptId - The attempt.
 * @param result - The upstream's answer or the owner's refusal.
 * @param load - The upstream's load, if reported.
 * @param emit - Receives the effects.
 */
export function handleAttemptResult(
  entry: Entry,
  view: EntryView,
  attemptId: string,
  result: Answer | Refusal,
  load: LoadReport | undefined,
  emit: Emit,
): void {
  const call = endAttempt(entry, attemptId);
  if (call === undefined) {
    return;
  }
  const upstreamId = call.currentAttempt?.upstreamId ?? '';
  const upstream = getOrCreateLoad(entry.loads, upstreamId);
  recordLoadReport(upstream, load, view.at);
  recordResult(upstream, result, view.at);
  if (result.kind === 'answer') {
    handleAnswer(entry, view, call, result, emit);
    return;
  }
  handleRefusal(entry, view, call, result, emit);
}

/** Updates the health of an upstream with the result of an attempt. */
function recordResult(
  load: UpstreamLoad,
  result: Answer | Refusal,
  at: number,
): void {
  if (result.kind === 'answer') {
    recordSuccess(load);
    return;
  }
  switch (result.reason) {
    case 'upstream_down':
      recordConnectionRefused(load, at);
      return;
    case 'proxy_not_ready':
    case 'attempt_lost':
    case 'answer_truncated':
      recordFailure(load, at);
      return;
    case 'attempt_timeout':
      recordTimeout(load, at);
      return;
    default:
      // The owner responded, which says nothing about its upstream.
      return;
  }
}

function handleAnswer(
  entry: Entry,
  view: EntryView,
  call: Call,
  answer: Answer,
  emit: Emit,
): void {
  const shed = answer.status === 503 && call.idempotent;
  if (shed && tryReserveRetry(entry, view, call, 'upstream_shed', emit)) {
    call.mayHaveRun = true;
    sendNextAttempt(entry, view, call, createRefusal('no_upstream'), emit);
    return;
  }
  removeCall(entry.calls, call);
  emit({kind: 'answerCall', callId: call.callId, result: answer});
}

function handleRefusal(
  entry: Entry,
  view: EntryView,
  call: Call,
  refusal: Refusal,
  emit: Emit,
): void {
  if (refusal.outcome === 'unknown') {
    call.mayHaveRun = true;
  }
  // Only one suspect runs at a time, so this one caused the crash.
  const isCulprit = refusal.reason === 'attempt_lost' && call.suspect;
  if (refusal.reason === 'attempt_lost') {
    call.suspect = true;
  }
  if (hasSharedKey(call)) {
    const isHolderBehind = refusal.reason === 'wrong_home';
    if (isHolderBehind && view.at + KEY_HOLDER_RETRY_MS < call.deadlineAt) {
      call.retryAt = view.at + KEY_HOLDER_RETRY_MS;
      entry.calls.delayed.add(call);
      emit({kind: 'count', counter: 'call_retried', reason: 'wrong_home'});
      return;
    }
    refuseCall(entry, call, refusal, emit, 'keyHolder');
    return;
  }
  const safe = call.idempotent || refusal.outcome === 'not-run';
  const final = refusal.reason === 'quarantined' || isCulprit;
  if (
    safe &&
    !final &&
    tryReserveRetry(entry, view, call, refusal.reason, emit)
  ) {
    sendNextAttempt(entry, view, call, refusal, emit);
    return;
  }
  refuseCall(entry, call, refusal, emit);
}

/**
 * Handles the failure of an attempt on its way to or from the owner.
 * @param entry - The entry's state.
 * @param view - State of the other parts, read-only.
 * @param attemptId - The attempt.
 * @param failure - How it failed.
 * @param emit - Receives the effects.
 */
export function handleAttemptFailure(
  entry: Entry,
  view: EntryView,
  attemptId: string,
  failure: FailureKind,
  emit: Emit,
): void {
  const call = endAttempt(entry, attemptId);
  const current = call?.currentAttempt;
  if (call === undefined || current === undefined) {
    return;
  }
  const load = getOrCreateLoad(entry.loads, current.upstreamId);
  if (failure === 'timeout') {
    recordTimeout(load, view.at);
  } else if (failure === 'connect') {
    recordConnectionRefused(load, view.at);
  } else {
    recordFailure(load, view.at);
  }
  const refusal = createFailureRefusal(failure, hasSharedKey(call));
  if (failure !== 'connect') {
    call.mayHaveRun = true;
  }
  if (call.key !== undefined && failure !== 'connect') {
    requestKeyClose(entry, view, call, emit);
    return;
  }
  const safe = call.idempotent || !hasSharedKey(call);
  if (safe && tryReserveRetry(entry, view, call, refusal.reason, emit)) {
    sendNextAttempt(entry, view, call, refusal, emit);
    return;
  }
  refuseCall(entry, call, refusal, emit);
}

function createFailureRefusal(
  failure: FailureKind,
  sharedKey: boolean,
): Refusal {
  if (failure !== 'connect') {
    return createUnknownOutcomeRefusal(failure);
  }
  const reason = sharedKey ? 'home_unreachable' : 'upstream_down';
  return createRefusal(reason, DEFAULT_RETRY_AFTER_MS);
}
