/**
 * The entry role: accepts callers' requests, sends attempts to owners, retries
 * where that is safe, and answers each call exactly once.
 */
import {findRoute, isIdempotent} from '../config/routing_table.js';
import {Refusal, createRefusal, weakenToUnknown} from '../refusals.js';
import {CallInfo, Emit} from '../types.js';
import {emitRefusal, endAttempt, sendNextAttempt} from './attempts.js';
import {Call, removeCall} from './calls.js';
import {DEFAULT_RETRY_AFTER_MS, Entry, EntryView} from './entry_state.js';
import {depositFirstAttempt} from './retry_budget.js';

/**
 * Accepts or refuses a caller's request.
 * @param entry - The entry's state.
 * @param view - State of the other parts, read-only.
 * @param callId - Identifies the call, and prefixes the ids of its attempts.
 * @param info - The request.
 * @param emit - Receives the effects.
 */
export function acceptCall(
  entry: Entry,
  view: EntryView,
  callId: string,
  info: CallInfo,
  emit: Emit,
): void {
  const call = tryCreateCall(view, callId, info);
  if (call.kind === 'refusal') {
    const final = info.key === undefined ? call : weakenToUnknown(call);
    emitRefusal(callId, final, emit);
    return;
  }
  entry.calls.byId.set(callId, call.call);
  const {route} = call.call;
  depositFirstAttempt(
    entry.budgets,
    route.service,
    route.target.retryBudgetPercent,
  );
  sendNextAttempt(entry, view, call.call, createRefusal('no_upstream'), emit);
}

function tryCreateCall(
  view: EntryView,
  callId: string,
  info: CallInfo,
): {readonly kind: 'call'; readonly call: Call} | Refusal {
  if (!view.ready) {
    return createRefusal('proxy_not_ready', DEFAULT_RETRY_AFTER_MS);
  }
  const route = findRoute(view.table, info.method, info.host, info.path);
  if (route === undefined) {
    return createRefusal('no_route');
  }
  if (view.isQuarantined(info.fingerprint)) {
    return createRefusal('quarantined');
  }
  const idempotent = isIdempotent(route, info.method);
  const timeoutMs = Math.min(route.timeoutMs, info.timeoutMs ?? Infinity);
  const call: Call = {
    callId,
    info,
    route,
    idempotent,
    key: idempotent ? undefined : (info.key ?? callId),
    privateKey: info.key === undefined,
    deadlineAt: view.at + timeoutMs,
    triedUpstreams: new Set(),
    attemptCount: 0,
    mayHaveRun: false,
    suspect: false,
  };
  return {kind: 'call', call};
}

/** Delay before a key holder that may lack a newer configuration is retried. */
export const KEY_HOLDER_RETRY_MS = 50;

/**
 * Sends the delayed attempts that are due.
 * @param entry - The entry's state.
 * @param view - State of the other parts, read-only.
 * @param emit - Receives the effects.
 */
export function sendDelayedAttempts(
  entry: Entry,
  view: EntryView,
  emit: Emit,
): void {
  for (const call of entry.calls.delayed) {
    if ((call.retryAt ?? 0) <= view.at) {
      call.retryAt = undefined;
      entry.calls.delayed.delete(call);
      sendNextAttempt(entry, view, call, createRefusal('wrong_home'), emit);
    }
  }
}

/**
 * Cancels a call whose caller has disconnected.
 * @param entry - The entry's state.
 * @param callId - The call.
 * @param emit - Receives the effects.
 */
export function cancelCall(entry: Entry, callId: string, emit: Emit): void {
  const call = entry.calls.byId.get(callId);
  if (call === undefined) {
    return;
  }
  const {currentAttempt} = call;
  if (currentAttempt !== undefined) {
    const {attemptId} = currentAttempt;
    endAttempt(entry, attemptId);
    emit({kind: 'cancelAttempt', attemptId});
  }
  removeCall(entry.calls, call);
  emit({kind: 'count', counter: 'call_refused', reason: 'call_cancelled'});
}
