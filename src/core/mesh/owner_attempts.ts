/**
 * The owner role: admits, queues and dispatches attempts for the upstream
 * beside this proxy. No other proxy sends requests to that upstream.
 */
import {Instance, MeshAttempt} from '../../model/mesh.js';
import {LoadReport} from '../../model/peer.js';
import {isQuarantined, isSuspect} from '../owner/crash_suspects.js';
import {Refusal, createRefusal} from '../refusals.js';
import {Answer} from '../types.js';
import {isOwnZoneEvacuated} from './evacuation_updates.js';
import {isCallerPresent} from './caller_presence.js';
import {updateColdLimit} from './cold_detection.js';
import {getColdDelayMs, getColdRate} from './cold_limit.js';
import {isLeaving} from './fleet_view.js';
import {findLinkSaturation, getLinkDelayMs} from './link_backlog.js';
import {MeshState, getOwnInstance, isUpstreamLeaving} from './mesh_state.js';
import {
  AttemptOutcome,
  LogFields,
  MeshEmit,
  MeshEventBody,
  UnreceivedReason,
} from './mesh_types.js';
import {adoptRateLimitHint, getRateDelayMs} from './rate_limit.js';
import {roundToHundredths} from './rounding.js';
import {estimateRunMs} from './run_estimates.js';
import {ACCEPT_ATTEMPTS_MS, mayBeCutByStop} from './stop_deadline.js';
import {tryStartProbe} from './upstream_health.js';
import {
  clampRetryAfterMs,
  getRetryAfterMs,
  removeUnservable,
  tryEnqueue,
} from './overload_admission.js';
import {
  QueuedAttempt,
  RunningAttempt,
  countUsedSlots,
  removeWaiting,
  tryStartNext,
} from './work_queue.js';

/** Retry delay advised while the upstream or this proxy takes no work. */
const UNAVAILABLE_RETRY_AFTER_MS = 400;

/** Retry delay advised while there is no memory for a request. */
const NO_MEMORY_RETRY_AFTER_MS = 500;

/** Slots assumed while no registration of the upstream is known. */
const UNREGISTERED_SLOTS = 1;

/** Queues an attempt and dispatches it if a slot is free, or refuses it. */
export function admitMeshAttempt(
  state: MeshState,
  at: number,
  arrival: Extract<MeshEventBody, {kind: 'attemptArrived'}>,
  emit: MeshEmit,
): void {
  const {attempt, ageMs = 0, unconfirmedMs = -Infinity} = arrival;
  state.lastWorkAt = at;
  const refusal =
    getAdmissionRefusal(state, at, attempt, ageMs) ??
    getUnreceivedRefusal(state, arrival.unreceived);
  if (refusal !== undefined) {
    refuseAttempt(state, at, attempt, refusal, emit);
    return;
  }
  const arriving = createArriving(state, at, attempt, ageMs, unconfirmedMs);
  logIfUnconfirmed(arriving, at, emit);
  const {work, estimates} = state;
  updateColdLimit(state, at, emit);
  adoptRateLimitHint(work.limit, attempt.limitPerSecond, at);
  const slots = getSlots(getOwnInstance(state));
  if (refuseIfSaturated(state, at, arriving, slots, emit)) {
    return;
  }
  const rejection = tryEnqueue(work, estimates, slots, arriving, at);
  if (rejection !== undefined) {
    const {reason, retryAfterMs} = rejection;
    const refused = createRefusal(reason, retryAfterMs);
    refuseAttempt(state, at, attempt, refused, emit);
    return;
  }
  dispatchWaiting(state, at, emit);
}

/**
 * Creates the entry of an attempt in the queue.
 * @param ageMs - Time since it was sent, at least, in milliseconds.
 * @param unconfirmedMs - Longest time for which its caller may have left unnoticed, in
 *     milliseconds.
 */
export function createArriving(
  {suspects}: MeshState,
  at: number,
  attempt: MeshAttempt,
  ageMs: number,
  unconfirmedMs: number,
): QueuedAttempt {
  return {
    attempt,
    arrivedAt: at,
    aimAt: at - ageMs + attempt.aimMs,
    deadlineAt: at - ageMs + attempt.timeoutMs,
    callerSeenAt: at - unconfirmedMs,
    suspect: isSuspect(suspects, attempt.fingerprint),
  };
}

/** Refuses an attempt whose request was not received. */
function getUnreceivedRefusal(
  {linkLoad}: MeshState,
  reason: UnreceivedReason | undefined,
): Refusal | undefined {
  if (reason === undefined) {
    return undefined;
  }
  return createRefusal(
    reason,
    reason === 'link_saturated'
      ? clampRetryAfterMs(linkLoad.arrivingMs)
      : NO_MEMORY_RETRY_AFTER_MS,
  );
}

/** Logs that an attempt must wait for news of its caller. */
function logIfUnconfirmed(
  queued: QueuedAttempt,
  at: number,
  emit: MeshEmit,
): void {
  if (isCallerPresent(queued, at)) {
    return;
  }
  const {attempt, callerSeenAt, deadlineAt} = queued;
  emit({kind: 'count', counter: 'late_read', reason: 'attempt_unconfirmed'});
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message: 'Attempt waits until its entry confirms the caller.',
    fields: {
      requestId: attempt.requestId,
      attemptId: attempt.attemptId,
      // Null in the log where the entry's clock is not known yet.
      unconfirmedMs: Math.round(at - callerSeenAt),
      deadlineLeftMs: Math.round(deadlineAt - at),
    },
  });
}

/**
 * Refuses an attempt whose answer would arrive too late because of other bytes.
 * @returns Whether it was refused.
 */
function refuseIfSaturated(
  state: MeshState,
  at: number,
  arriving: QueuedAttempt,
  slots: number,
  emit: MeshEmit,
): boolean {
  const saturation = findLinkSaturation(state, arriving, slots, at);
  if (saturation === undefined) {
    return false;
  }
  const {retryAfterMs, aheadMs, answerBytes} = saturation;
  const refusal = createRefusal(
    'link_saturated',
    clampRetryAfterMs(retryAfterMs),
  );
  refuseAttempt(state, at, arriving.attempt, refusal, emit, {
    answersAheadMs: Math.round(aheadMs),
    answerBytes: Math.round(answerBytes),
  });
  return true;
}

/**
 * Returns why an attempt must not be queued whatever the load, or undefined if it may
 * be.
 * @param ageMs - Time since it was sent, at least, in milliseconds.
 */
export function getAdmissionRefusal(
  state: MeshState,
  at: number,
  attempt: MeshAttempt,
  ageMs: number,
): Refusal | undefined {
  const {health, suspects} = state;
  if (state.stopped) {
    return createRefusal('proxy_stopping', UNAVAILABLE_RETRY_AFTER_MS);
  }
  const unavailableReason = getUnavailableReason(state, attempt);
  if (unavailableReason !== undefined) {
    return createRefusal(unavailableReason, UNAVAILABLE_RETRY_AFTER_MS);
  }
  if (isQuarantined(suspects, attempt.fingerprint, at)) {
    return createRefusal('crash_suspected', state.settings.quarantineMs);
  }
  if (health.down) {
    return createRefusal('upstream_down', UNAVAILABLE_RETRY_AFTER_MS);
  }
  if (isCutByStop(state, attempt, at - ageMs + attempt.timeoutMs, at)) {
    return createRefusal('proxy_stopping', UNAVAILABLE_RETRY_AFTER_MS);
  }
  return undefined;
}

/**
 * Reports whether a run that starts now may still be under way at the stop deadline.
 * An entry can send another owner what was not run, but not repeat a cut run that is
 * not idempotent.
 */
function isCutByStop(
  state: MeshState,
  attempt: MeshAttempt,
  deadlineAt: number,
  at: number,
): boolean {
  const expectedMs = estimateRunMs(state.estimates, attempt);
  const toleratedForMs = attempt.idempotent ? ACCEPT_ATTEMPTS_MS : 0;
  const candidate = {deadlineAt, expectedMs, toleratedForMs};
  return mayBeCutByStop(state, candidate, at);
}

/**
 * Returns why the upstream that an attempt is addressed to can no longer be
 * reached through this proxy, or undefined if it can.
 */
function getUnavailableReason(
  state: MeshState,
  {instanceId}: MeshAttempt,
): 'wrong_home' | 'zone_evacuated' | 'upstream_leaving' | undefined {
  const {replacedId, deregisteredId} = state.health;
  const own = getOwnInstance(state);
  const isOther = own !== undefined && own.id !== instanceId;
  if (isOther || replacedId === instanceId) {
    return 'wrong_home';
  }
  if (isOwnZoneEvacuated(state)) {
    return 'zone_evacuated';
  }
  const isGone = deregisteredId === instanceId;
  return isGone || isInstanceLeaving(state, instanceId)
    ? 'upstream_leaving'
    : undefined;
}

/** Reports whether an instance, registered or not, is to get no new work. */
function isInstanceLeaving(state: MeshState, id: string): boolean {
  const own = getOwnInstance(state);
  return own?.id === id
    ? isUpstreamLeaving(state)
    : isLeaving(state.fleet, {id, incarnation: 0});
}

/** Gets the slots of this proxy's upstream. */
export function getSlots(own: Instance | undefined): number {
  return own?.slots ?? UNREGISTERED_SLOTS;
}

/** Used share of the bandwidth below which it is not worth the bytes to report. */
const MIN_REPORTED_LINK_SHARE = 0.1;

/** The same for the time that waiting bodies take, in milliseconds. */
const MIN_REPORTED_LINK_DELAY_MS = 5;

/**
 * Creates the load report from which entries choose an upstream.
 * @param instanceId - The instance that the entry asked.
 */
function createLoadReport(
  state: MeshState,
  at: number,
  instanceId: string,
): LoadReport {
  const {work, estimates, health, fleet, linkLoad} = state;
  const own = getOwnInstance(state);
  const incarnation = own?.id === instanceId ? own.incarnation : 0;
  const {limit, cold, queue} = work;
  const linkDelayMs = Math.round(getLinkDelayMs(state, at));
  const requestDelayMs = Math.round(linkLoad.arrivingMs);
  return {
    running: countUsedSlots(work, estimates, at),
    queued: queue.length,
    slots: getSlots(own),
    leaving:
      isUpstreamLeaving(state) ||
      health.replacedId !== undefined ||
      health.deregisteredId !== undefined ||
      state.leaving,
    slowness: roundToHundredths(estimates.slowness),
    failing: roundToHundredths(estimates.failing),
    ...(limit.perSecond === undefined
      ? {}
      : {
          limitPerSecond: limit.perSecond,
          limitDelayMs: Math.round(getRateDelayMs(limit, queue.length, at)),
        }),
    ...(cold.bound === undefined
      ? {}
      : {
          coldPerSecond: roundToHundredths(getColdRate(cold.bound)),
          coldDelayMs: Math.round(getColdDelayMs(cold, queue.length, at)),
        }),
    ...(linkLoad.share < MIN_REPORTED_LINK_SHARE
      ? {}
      : {linkShare: roundToHundredths(linkLoad.share)}),
    ...(linkDelayMs < MIN_REPORTED_LINK_DELAY_MS ? {} : {linkDelayMs}),
    ...(requestDelayMs < MIN_REPORTED_LINK_DELAY_MS ? {} : {requestDelayMs}),
    ...(isLeaving(fleet, {id: instanceId, incarnation})
      ? {upstreamLeaving: true}
      : {}),
  };
}

/** Reports the outcome of an attempt to its entry, with the current load. */
export function finishMeshAttempt(
  state: MeshState,
  at: number,
  {attemptId, instanceId}: MeshAttempt,
  outcome: Omit<AttemptOutcome, 'load'>,
  emit: MeshEmit,
): void {
  const load = createLoadReport(state, at, instanceId);
  emit({kind: 'finishAttempt', attemptId, outcome: {...outcome, load}});
}

/** Removes a running attempt and so frees its slot. */
export function removeRun(
  state: MeshState,
  attemptId: string,
): RunningAttempt | undefined {
  const run = state.work.running.get(attemptId);
  state.work.running.delete(attemptId);
  return run;
}

/** Finishes an attempt that was dispatched. */
export function finishRun(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  result: Answer | Refusal,
  emit: MeshEmit,
  reachedUpstream = true,
): void {
  finishMeshAttempt(state, at, run.attempt, {result, reachedUpstream}, emit);
}

/**
 * Refuses an attempt that was not sent to the upstream.
 * @param inputs - What decided, beside what is logged of every refusal.
 */
export function refuseAttempt(
  state: MeshState,
  at: number,
  attempt: MeshAttempt,
  refusal: Refusal,
  emit: MeshEmit,
  inputs: LogFields = {},
): void {
  const {reason} = refusal;
  const {route} = attempt;
  emit({kind: 'count', counter: 'attempt_refused', reason});
  emit({kind: 'countRoute', counter: 'route_refusals', route, outcome: reason});
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message: 'Attempt refused.',
    fields: {
      requestId: attempt.requestId,
      attemptId: attempt.attemptId,
      route: attempt.route,
      priority: attempt.priority,
      aimMs: Math.round(attempt.aimMs),
      timeoutMs: Math.round(attempt.timeoutMs),
      reason: refusal.reason,
      retryAfterMs: refusal.retryAfterMs && Math.round(refusal.retryAfterMs),
      queued: state.work.queue.length,
      running: state.work.running.size,
      slowness: roundToHundredths(state.estimates.slowness),
      limitPerSecond: state.work.limit.perSecond,
      coldAllowance: state.work.cold.bound?.allowance,
      revision: state.fleet.revision,
      ...inputs,
    },
  });
  const outcome = {result: refusal, reachedUpstream: false};
  finishMeshAttempt(state, at, attempt, outcome, emit);
}

/**
 * Dispatches waiting attempts while slots are free, after refusing those that
 * can no longer be served.
 */
export function dispatchWaiting(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {work, estimates} = state;
  updateColdLimit(state, at, emit);
  refuseUnservable(state, at, emit);
  refuseUnreachable(state, at, emit);
  const slots = getSlots(getOwnInstance(state));
  for (;;) {
    const next = tryStartNext(work, estimates, slots, at);
    if (next === undefined) {
      return;
    }
    const {attemptId, instanceId} = next.attempt;
    const timeoutMs = next.deadlineAt - at;
    const waitedSeconds = (at - next.arrivedAt) / 1_000;
    emit({kind: 'dispatch', attemptId, instanceId, timeoutMs});
    emit({kind: 'observe', histogram: 'wait_seconds', seconds: waitedSeconds});
  }
}

function refuseUnservable(state: MeshState, at: number, emit: MeshEmit): void {
  const {work, estimates} = state;
  const slots = getSlots(getOwnInstance(state));
  for (const {queued, reason} of removeUnservable(work, estimates, slots, at)) {
    const retryAfterMs = getRetryAfterMs(work, estimates, slots, at);
    const refusal = createRefusal(reason, retryAfterMs);
    refuseAttempt(state, at, queued.attempt, refusal, emit);
  }
}

/**
 * Refuses waiting attempts whose upstream is down, evacuated, leaving or replaced, or
 * whose run the end of this proxy's stop would cut.
 */
function refuseUnreachable(state: MeshState, at: number, emit: MeshEmit): void {
  const {work, health} = state;
  for (const {attempt, deadlineAt} of [...work.queue]) {
    const reason =
      getUnavailableReason(state, attempt) ??
      (health.down ? 'upstream_down' : undefined) ??
      (isCutByStop(state, attempt, deadlineAt, at)
        ? 'proxy_stopping'
        : undefined);
    if (reason !== undefined) {
      removeWaiting(work, attempt.attemptId);
      const refusal = createRefusal(reason, UNAVAILABLE_RETRY_AFTER_MS);
      refuseAttempt(state, at, attempt, refusal, emit);
    }
  }
}

/** Refuses all waiting attempts, so that entries try other upstreams. */
export function refuseAllWaiting(
  state: MeshState,
  at: number,
  reason: 'upstream_down' | 'wrong_home' | 'proxy_stopping',
  emit: MeshEmit,
): void {
  for (const {attempt} of state.work.queue.splice(0)) {
    const refusal = createRefusal(reason, UNAVAILABLE_RETRY_AFTER_MS);
    refuseAttempt(state, at, attempt, refusal, emit);
  }
}

/** Cancels an attempt that its entry no longer waits for. */
export function cancelMeshAttempt(
  state: MeshState,
  at: number,
  attemptId: string,
  emit: MeshEmit,
): void {
  if (removeWaiting(state.work, attemptId) !== undefined) {
    emit({kind: 'count', counter: 'attempt_refused', reason: 'call_cancelled'});
    return;
  }
  if (state.work.running.has(attemptId)) {
    emit({kind: 'abortDispatch', attemptId});
  }
  dispatchWaiting(state, at, emit);
}

/**
 * Handles a timer tick: dispatches or refuses waiting attempts, and probes an
 * upstream that is down.
 */
export function tickMeshOwner(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  dispatchWaiting(state, at, emit);
  const {health} = state;
  const isRecheckDue = at >= (health.recheckAt ?? Infinity);
  if (
    (health.down || isRecheckDue) &&
    tryStartProbe(health, at, isRecheckDue)
  ) {
    emit({kind: 'probeConnect'});
  }
}
