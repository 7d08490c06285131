/**
 * Handles the results of attempts: answers the call, sends it to another owner,
 * retries it, or refuses it.
 */
import {
  getOrCreateLoad,
  recordConnectionRefused,
  recordFailure,
  recordLoadReport,
  recordSuccess,
} from '../entry/load_view.js';
import {Refusal, RefusalReason, createRefusal} from '../refusals.js';
import {Answer, isServerError} from '../types.js';
import {
  answerMeshCall,
  MAX_OWNERS_ASKED,
  cancelAttempts,
  detachAttempt,
  refuseCall,
  trySendAttempt,
} from './call_lifecycle.js';
import {markLeaving} from './fleet_view.js';
import {MeshCall, SentAttempt} from './mesh_calls.js';
import {MeshState} from './mesh_state.js';
import {AttemptOutcome, MeshEmit, MeshEvent} from './mesh_types.js';
import {updateAverage} from './moving_average.js';
import {canRetry, spendRetryToken} from './retry_tokens.js';

/** Time and randomness of the event that is handled. */
type EventStamp = Pick<MeshEvent, 'at' | 'entropy'>;

/**
 * Hedging sends an idempotent call to a second upstream once the first attempt
 * has taken this multiple of the route's average time, because its answer may
 * be lost.
 */
const HEDGE_DELAY_FACTOR = 2.2;
const MIN_HEDGE_DELAY_MS = 60;

/** Retry tokens that hedging leaves for retries after known failures. */
const HEDGE_RESERVE_TOKENS = 2;

/**
 * Refusals after which an upstream counts as unavailable for a while. An owner
 * whose upstream is gone reports no load, so it would look like the best choice.
 */
const UNAVAILABLE_REASONS: ReadonlySet<string> = new Set<RefusalReason>([
  'upstream_down',
  'wrong_home',
  'proxy_stopping',
  'zone_evacuated',
]);

/** Handles the result of an attempt that its owner reports. */
export function handleAttemptOutcome(
  state: MeshState,
  stamp: EventStamp,
  attemptId: string,
  outcome: AttemptOutcome,
  emit: MeshEmit,
): void {
  const ended = detachAttempt(state, attemptId);
  if (ended === undefined) {
    return;
  }
  const {call, sent} = ended;
  const {result, reachedUpstream} = outcome;
  const load = getOrCreateLoad(state.loads, sent.instanceId);
  recordLoadReport(load, outcome.load, stamp.at);
  if (outcome.load?.upstreamLeaving === true) {
    markLeaving(state.fleet, sent.instanceId);
  }
  if (reachedUpstream) {
    call.reached += 1;
  }
  if (result.kind === 'answer') {
    recordSuccess(load);
    handleAnswer(state, stamp, call, sent, result, emit);
    return;
  }
  if (UNAVAILABLE_REASONS.has(result.reason)) {
    recordConnectionRefused(load, stamp.at);
  }
  handleRefusal(state, stamp, call, result, reachedUpstream, emit);
}

/** Answers the call, or retries it after an idempotent request failed. */
function handleAnswer(
  state: MeshState,
  stamp: EventStamp,
  call: MeshCall,
  sent: SentAttempt,
  answer: Answer,
  emit: MeshEmit,
): void {
  const {at} = stamp;
  const failed = isServerError(answer);
  if (failed && call.route.idempotent) {
    call.mayHaveRun = true;
    if (call.inFlight.size > 0) {
      return;
    }
    if (tryRetry(state, stamp, call, 'upstream_error', 0, emit)) {
      return;
    }
  }
  if (!failed) {
    updateAverage(state.answerMsByRoute, call.route.name, at - sent.sentAt);
    const {byteLength} = answer.body;
    updateAverage(state.answerBytesByRoute, call.route.name, byteLength);
  }
  answerMeshCall(state, call, answer, sent, at, emit);
}

/**
 * Refuses the call or sends it again. A call that may have run is sent again
 * only if it is idempotent.
 */
function handleRefusal(
  state: MeshState,
  stamp: EventStamp,
  call: MeshCall,
  refusal: Refusal,
  reachedUpstream: boolean,
  emit: MeshEmit,
): void {
  const unknown = refusal.outcome === 'unknown';
  if (unknown) {
    call.mayHaveRun = true;
  }
  if (call.inFlight.size > 0) {
    return;
  }
  const mayRepeat = call.route.idempotent || !call.mayHaveRun;
  if (!mayRepeat || refusal.reason === 'crash_suspected') {
    refuseCall(state, call, refusal, stamp, emit);
    return;
  }
  if (!reachedUpstream && !unknown) {
    sendToNextOwner(state, stamp, call, refusal, emit);
    return;
  }
  if (!tryRetry(state, stamp, call, refusal.reason, 0, emit)) {
    refuseCall(state, call, refusal, stamp, emit);
  }
}

/**
 * Sends a call to the next owner. No upstream has received it, so this uses no
 * retry budget.
 */
function sendToNextOwner(
  state: MeshState,
  stamp: EventStamp,
  call: MeshCall,
  refusal: Refusal,
  emit: MeshEmit,
): void {
  call.lastRefusal = withShortestRetryAfter(call, refusal);
  if (trySendAttempt(state, stamp, call, emit)) {
    emit({kind: 'count', counter: 'call_retried', reason: refusal.reason});
    return;
  }
  refuseCall(state, call, call.lastRefusal, stamp, emit);
}

/** Returns a refusal with the shortest retry delay that owners have advised. */
function withShortestRetryAfter(call: MeshCall, refusal: Refusal): Refusal {
  const before = call.lastRefusal?.retryAfterMs;
  const {retryAfterMs} = refusal;
  if (call.asked <= 1 || before === undefined || retryAfterMs === undefined) {
    return refusal;
  }
  return {...refusal, retryAfterMs: Math.min(before, retryAfterMs)};
}

/**
 * Sends a call to another upstream if its route's attempts and the retry budget
 * allow it.
 * @param reserve - Tokens that must be left in the budget.
 */
function tryRetry(
  state: MeshState,
  stamp: EventStamp,
  call: MeshCall,
  reason: string,
  reserve: number,
  emit: MeshEmit,
): boolean {
  const {retries, settings, fleet} = state;
  const reached = Math.max(call.reached, call.inFlight.size);
  if (reached >= call.route.attempts) {
    emit({kind: 'count', counter: 'call_retried', reason: 'no_attempts_left'});
    return false;
  }
  const proxies = fleet.instances.size;
  const {at} = stamp;
  if (!canRetry(retries, settings, proxies, call.service, at, reserve)) {
    emit({kind: 'count', counter: 'call_retried', reason: 'no_budget'});
    return false;
  }
  // Refusals by owners may have used up the limit; allow one owner for a retry.
  call.asked = Math.min(call.asked, MAX_OWNERS_ASKED - 1);
  const sent = trySendAttempt(state, stamp, call, emit);
  if (sent) {
    spendRetryToken(retries, settings, proxies, call.service, at);
  }
  emit({
    kind: 'count',
    counter: 'call_retried',
    reason: sent ? reason : 'no_upstream',
  });
  return sent;
}

/** Handles an attempt that was lost on the link to its owner. */
export function handleAttemptLoss(
  state: MeshState,
  stamp: EventStamp,
  attemptId: string,
  wasSent: boolean,
  emit: MeshEmit,
): void {
  const ended = detachAttempt(state, attemptId);
  if (ended === undefined) {
    return;
  }
  const {call, sent} = ended;
  const load = getOrCreateLoad(state.loads, sent.instanceId);
  if (!wasSent) {
    recordConnectionRefused(load, stamp.at);
    const refusal = createRefusal('upstream_down');
    handleRefusal(state, stamp, call, refusal, false, emit);
    return;
  }
  recordFailure(load, stamp.at);
  call.reached += 1;
  handleRefusal(state, stamp, call, createRefusal('attempt_lost'), true, emit);
}

/** Ends calls past their deadline, and hedges those that are slow. */
export function tickCalls(
  state: MeshState,
  stamp: EventStamp,
  emit: MeshEmit,
): void {
  // Removes no other call than the present one, so it needs no copy.
  for (const call of state.calls.values()) {
    if (stamp.at >= call.deadlineAt) {
      endExpiredCall(state, stamp, call, emit);
    } else {
      hedgeIfSlow(state, stamp, call, emit);
    }
  }
}

/** Refuses a call whose deadline has passed. */
function endExpiredCall(
  state: MeshState,
  stamp: EventStamp,
  call: MeshCall,
  emit: MeshEmit,
): void {
  const mayRun = call.mayHaveRun || call.inFlight.size > 0;
  cancelAttempts(state, call, emit);
  const refusal = createRefusal(
    mayRun ? 'attempt_timeout' : 'deadline_too_short',
  );
  refuseCall(state, call, refusal, stamp, emit);
}

/** Hedges an idempotent call whose only attempt in flight is slow. */
function hedgeIfSlow(
  state: MeshState,
  stamp: EventStamp,
  call: MeshCall,
  emit: MeshEmit,
): void {
  const dueAt = getHedgeDueAt(state, call);
  if (dueAt !== undefined && stamp.at >= dueAt) {
    tryRetry(state, stamp, call, 'slow', HEDGE_RESERVE_TOKENS, emit);
  }
}

/**
 * Gets the time from which a call is hedged.
 * @returns The time; undefined if the call may not be hedged as it stands.
 */
export function getHedgeDueAt(
  state: MeshState,
  {route, inFlight, reached}: MeshCall,
): number | undefined {
  const averageMs = state.answerMsByRoute.get(route.name);
  const hasAttemptsLeft = reached + 1 < route.attempts;
  if (
    !route.idempotent ||
    !hasAttemptsLeft ||
    inFlight.size !== 1 ||
    averageMs === undefined
  ) {
    return undefined;
  }
  const [sent] = inFlight.values();
  const delayMs = Math.max(MIN_HEDGE_DELAY_MS, averageMs * HEDGE_DELAY_FACTOR);
  return sent.sentAt + delayMs;
}
