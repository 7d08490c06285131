/** Sends the attempts of calls, and refuses calls that cannot be served. */
import {Attempt} from '../../model/peer.js';
import {UpstreamTarget} from '../config/routing_table.js';
import {Refusal, createRefusal, weakenToUnknown} from '../refusals.js';
import {Emit} from '../types.js';
import {chooseUpstream, getKeyHolder} from './balancer.js';
import {Call, removeCall} from './calls.js';
import {Entry, EntryView, MIN_ATTEMPT_MS} from './entry_state.js';
import {getOrCreateLoad} from './load_view.js';

/** Share of the remaining time reserved for closing a key after a timeout. */
const CLOSE_RESERVE_SHARE = 0.1;

const MAX_CLOSE_RESERVE_MS = 50;

/** Reports whether the caller chose the key, so other calls may use it too. */
export function hasSharedKey(call: Call): boolean {
  return call.key !== undefined && !call.privateKey;
}

/** Sends the next attempt of a call, or refuses it if there is no upstream. */
export function sendNextAttempt(
  entry: Entry,
  view: EntryView,
  call: Call,
  lastRefusal: Refusal,
  emit: Emit,
): void {
  const remainingMs = call.deadlineAt - view.at;
  if (remainingMs < MIN_ATTEMPT_MS) {
    refuseCall(entry, call, createRefusal('deadline_too_short'), emit);
    return;
  }
  const upstream = chooseTarget(entry, view, call);
  if (upstream === undefined) {
    refuseCall(entry, call, lastRefusal, emit);
    return;
  }
  call.attemptCount += 1;
  call.triedUpstreams.add(upstream.id);
  const timeoutMs = getAttemptTimeoutMs(entry, view, call, remainingMs);
  const attempt = createAttempt(view, call, upstream.id, timeoutMs);
  call.currentAttempt = {
    attemptId: attempt.attemptId,
    upstreamId: upstream.id,
    address: upstream.peerAddress,
    closing: false,
  };
  entry.calls.byAttempt.set(attempt.attemptId, call);
  getOrCreateLoad(entry.loads, upstream.id).ownAttempts += 1;
  emit({
    kind: 'sendAttempt',
    callId: call.callId,
    address: upstream.peerAddress,
    attempt,
  });
}

/**
 * Chooses the upstream of the next attempt by the current configuration, which
 * may be newer than the call.
 */
export function chooseTarget(
  entry: Entry,
  view: EntryView,
  call: Call,
): UpstreamTarget | undefined {
  const service = view.table.services.get(call.route.service);
  if (service === undefined) {
    return undefined;
  }
  if (call.key !== undefined && !call.privateKey) {
    return getKeyHolder(view.table, service, call.key);
  }
  const {loads} = entry;
  return chooseUpstream(service, call.triedUpstreams, {...view, loads});
}

/**
 * Returns the timeout of the current attempt, which leaves time for closing the
 * key or for another attempt.
 */
function getAttemptTimeoutMs(
  entry: Entry,
  view: EntryView,
  call: Call,
  remainingMs: number,
): number {
  if (!call.idempotent) {
    const reserveMs = remainingMs * CLOSE_RESERVE_SHARE;
    return remainingMs - Math.min(MAX_CLOSE_RESERVE_MS, reserveMs);
  }
  const {firstAttemptShare} = view.settings.policy;
  const hasOther =
    firstAttemptShare < 1 &&
    call.attemptCount === 1 &&
    !call.info.retriedByOuter &&
    chooseTarget(entry, view, call) !== undefined;
  return hasOther ? remainingMs * firstAttemptShare : remainingMs;
}

function createAttempt(
  view: EntryView,
  call: Call,
  upstreamId: string,
  timeoutMs: number,
): Attempt {
  return {
    attemptId: `${call.callId}.${call.attemptCount}`,
    service: call.route.service,
    upstreamId,
    version: view.table.version,
    idempotent: call.idempotent,
    key: call.key,
    privateKey: call.privateKey,
    timeoutMs,
    fingerprint: call.info.fingerprint,
    suspect: call.suspect,
    priority: call.route.priority,
  };
}

/**
 * Detaches an attempt from its call.
 * @param entry - The entry's state.
 * @param attemptId - The attempt.
 * @returns The call, or undefined if this is not its current attempt.
 */
export function endAttempt(entry: Entry, attemptId: string): Call | undefined {
  const call = entry.calls.byAttempt.get(attemptId);
  const current = call?.currentAttempt;
  if (call === undefined || current === undefined || current.closing) {
    return undefined;
  }
  entry.calls.byAttempt.delete(attemptId);
  getOrCreateLoad(entry.loads, current.upstreamId).ownAttempts -= 1;
  return call;
}

/**
 * Refuses a call. For a shared key, only the key holder can promise `not-run`:
 * an entry does not know the outcome of other attempts with the same key.
 */
export function refuseCall(
  entry: Entry,
  call: Call,
  refusal: Refusal,
  emit: Emit,
  refusedBy: 'entry' | 'keyHolder' = 'entry',
): void {
  removeCall(entry.calls, call);
  const isOutcomeUnknown =
    call.mayHaveRun || (hasSharedKey(call) && refusedBy === 'entry');
  emitRefusal(
    call.callId,
    isOutcomeUnknown ? weakenToUnknown(refusal) : refusal,
    emit,
  );
}

/** Counts a refusal and answers the call with it. */
export function emitRefusal(
  callId: string,
  refusal: Refusal,
  emit: Emit,
): void {
  emit({kind: 'count', counter: 'call_refused', reason: refusal.reason});
  emit({kind: 'answerCall', callId, result: refusal});
}
