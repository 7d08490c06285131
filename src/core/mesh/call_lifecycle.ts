/**
 * The entry role: accepts calls, sends their attempts, and answers or refuses
 * each call once.
 */
import {MeshAttempt} from '../../model/mesh.js';
import {getOrCreateLoad} from '../entry/load_view.js';
import {Refusal, createRefusal, weakenToUnknown} from '../refusals.js';
import {Answer, isServerError} from '../types.js';
import {chooseInstance} from './choose_instance.js';
import {MeshCall, SentAttempt} from './mesh_calls.js';
import {MeshState, getLinkAddress} from './mesh_state.js';
import {
  MeshCallInfo,
  MeshEmit,
  MeshEvent,
  MeshEventBody,
} from './mesh_types.js';
import {tryCreateCall} from './create_call.js';
import {createNoUpstreamRefusal} from './service_delays.js';
import {creditRetryTokens, spendRetryToken} from './retry_tokens.js';
import {getKnowledgeAgeMs} from './known_state.js';

/**
 * Largest number of owners to which one call is sent. An owner's refusal costs
 * a round trip but no work at an upstream.
 */
export const MAX_OWNERS_ASKED = 4;

/** No attempt is sent with less time than this to the deadline. */
const MIN_ATTEMPT_MS = 4;

/** Random part of a retry delay, so that callers do not retry in step. */
const RETRY_AFTER_JITTER = 0.5;

/** Time and randomness of the event that is handled. */
type EventStamp = Pick<MeshEvent, 'at' | 'entropy'>;

/** Accepts a call and sends its first attempt, or refuses it at once. */
export function acceptMeshCall(
  state: MeshState,
  stamp: EventStamp,
  arrival: Extract<MeshEventBody, {kind: 'callArrived'}>,
  emit: MeshEmit,
): void {
  const {at} = stamp;
  const {callId, call: info} = arrival;
  state.lastWorkAt = at;
  const call = tryCreateCall(state, stamp, arrival);
  if ('reason' in call) {
    refuseUnaccepted(state, callId, info, call, at, emit);
    return;
  }
  state.calls.set(callId, call);
  const proxies = state.fleet.instances.size;
  const {retries, settings} = state;
  creditRetryTokens(retries, settings, proxies, call.service, at);
  if (call.repeated) {
    // Its refusal would waste the run, so this may leave a debt, which the next
    // retries pay off.
    spendRetryToken(retries, settings, proxies, call.service, at);
  }
  if (!trySendAttempt(state, stamp, call, emit)) {
    const refusal = createNoUpstreamRefusal(state, call, at);
    refuseCall(state, call, refusal, stamp, emit);
  }
}

/** Refuses a call of which no state was created. */
function refuseUnaccepted(
  state: MeshState,
  callId: string,
  info: MeshCallInfo,
  refusal: Refusal,
  at: number,
  emit: MeshEmit,
): void {
  emit({kind: 'count', counter: 'call_refused', reason: refusal.reason});
  emit({
    kind: 'log',
    level: 'info',
    part: 'entry',
    message: 'Call refused.',
    fields: {
      requestId: info.requestId,
      reason: refusal.reason,
      version: state.routeTable?.version,
      knowledgeAgeMs: getKnowledgeAgeMs(state, at),
    },
  });
  emit({kind: 'answerCall', callId, result: refusal});
}

/**
 * Sends an attempt to the best upstream that has not been tried.
 * @returns False where no upstream, no attempt or no time is left.
 */
export function trySendAttempt(
  state: MeshState,
  {at, entropy}: EventStamp,
  call: MeshCall,
  emit: MeshEmit,
): boolean {
  const {route, service, tried, info} = call;
  if (call.deadlineAt - at < MIN_ATTEMPT_MS || call.asked >= MAX_OWNERS_ASKED) {
    return false;
  }
  const {bodyBytes} = info;
  const lastReason = call.lastRefusal?.reason;
  const wasTurnedAway =
    lastReason === 'queue_full' ||
    lastReason === 'rate_limited' ||
    lastReason === 'link_saturated';
  // Where slots are scarce, the first owner is not asked either if recent reports show
  // that none of the service has room. A refused nested call would waste a run.
  const mayRefuseUnasked =
    state.settings.scarceSlots && call.asked === 0 && !call.nested;
  const usefulMs =
    wasTurnedAway || mayRefuseUnasked ? getUsefulMs(call, at) : undefined;
  const timeLeftMs = call.deadlineAt - at;
  const query = {service, route, tried, bodyBytes, timeLeftMs, usefulMs};
  const instance = chooseInstance(state, query, at, entropy);
  if (instance === undefined) {
    return false;
  }
  call.asked += 1;
  tried.add(instance.id);
  const address = getLinkAddress(state, instance);
  const to = address === state.settings.address ? undefined : address;
  const attempt = createAttempt(state, call, instance.id, at);
  const {attemptId} = attempt;
  const sent = {attemptId, instanceId: instance.id, to, sentAt: at};
  call.inFlight.set(attemptId, sent);
  state.callByAttempt.set(attemptId, call);
  getOrCreateLoad(state.loads, instance.id).ownAttempts += 1;
  emit({kind: 'sendAttempt', callId: call.callId, to, attempt});
  return true;
}

/**
 * Gets the time in which an answer is useful: until the aim, or until the deadline
 * where a run waits for the answer or the aim was missed by an earlier try.
 */
function getUsefulMs(call: MeshCall, at: number): number {
  const hasReturned = call.aimAt < call.arrivedAt + call.route.aimMs;
  const endsAt = call.nested || hasReturned ? call.deadlineAt : call.aimAt;
  return endsAt - at;
}

/** Reports whether requests wait for the slot of the run that made a call. */
function isSlotWanted({settings, work}: MeshState, {nested}: MeshCall) {
  return settings.scarceSlots && nested && work.queue.length > 0;
}

function createAttempt(
  state: MeshState,
  call: MeshCall,
  instanceId: string,
  at: number,
): MeshAttempt {
  const {route, info} = call;
  const timeoutMs = call.deadlineAt - at;
  const {report} = getOrCreateLoad(state.loads, instanceId);
  const limitPerSecond = report?.limitPerSecond;
  const isRepeated =
    call.repeated ||
    call.mayHaveRun ||
    call.reached > 0 ||
    call.inFlight.size > 0;
  return {
    attemptId: `${call.callId}.${call.tried.size}`,
    requestId: info.requestId,
    service: call.service,
    instanceId,
    route: route.name,
    callerService: state.settings.service,
    idempotent: route.idempotent,
    ...(call.nested ? {nested: true} : {}),
    ...(isSlotWanted(state, call) ? {slotWanted: true} : {}),
    ...(isRepeated ? {repeated: true} : {}),
    priority: route.priority,
    // The work of a run is wasted if a call that it made is refused, so such
    // a call has until its deadline instead of until its aim.
    aimMs: call.nested ? timeoutMs : call.aimAt - at,
    timeoutMs,
    routeAimMs: route.aimMs,
    fingerprint: info.fingerprint,
    ...(limitPerSecond === undefined ? {} : {limitPerSecond}),
  };
}

/**
 * Removes an attempt from those in flight.
 * @returns The attempt and its call, or undefined where its result is no longer
 * awaited.
 */
export function detachAttempt(
  state: MeshState,
  attemptId: string,
): {readonly call: MeshCall; readonly sent: SentAttempt} | undefined {
  const call = state.callByAttempt.get(attemptId);
  const sent = call?.inFlight.get(attemptId);
  if (call === undefined || sent === undefined) {
    return undefined;
  }
  state.callByAttempt.delete(attemptId);
  call.inFlight.delete(attemptId);
  const load = getOrCreateLoad(state.loads, sent.instanceId);
  load.ownAttempts = Math.max(0, load.ownAttempts - 1);
  return {call, sent};
}

/** Cancels all attempts of a call that are in flight. */
export function cancelAttempts(
  state: MeshState,
  call: MeshCall,
  emit: MeshEmit,
): void {
  for (const attemptId of call.inFlight.keys()) {
    detachAttempt(state, attemptId);
    emit({kind: 'cancelAttempt', attemptId});
  }
}

/** Answers a call with the upstream's answer. */
export function answerMeshCall(
  state: MeshState,
  call: MeshCall,
  answer: Answer,
  sent: SentAttempt,
  at: number,
  emit: MeshEmit,
): void {
  cancelAttempts(state, call, emit);
  state.calls.delete(call.callId);
  state.lastWorkAt = at;
  emit({kind: 'answerCall', callId: call.callId, result: answer});
  emit({
    kind: 'count',
    counter: 'call_answered',
    reason: `${Math.floor(answer.status / 100)}xx`,
  });
  const outcome = at <= call.aimAt ? 'in_time' : 'late';
  countCall(call, isServerError(answer) ? 'failed' : outcome, emit);
  const tookMs = at - call.arrivedAt;
  emit({kind: 'observe', histogram: 'call_seconds', seconds: tookMs / 1_000});
  logCall(state, call, 'Call answered.', at, emit, {
    status: answer.status,
    instance: sent.instanceId,
  });
}

/** Answers a call with a refusal. */
export function refuseCall(
  state: MeshState,
  call: MeshCall,
  refusal: Refusal,
  {at, entropy}: EventStamp,
  emit: MeshEmit,
): void {
  cancelAttempts(state, call, emit);
  state.calls.delete(call.callId);
  state.lastWorkAt = at;
  const reported = call.mayHaveRun ? toUnknownOutcome(refusal) : refusal;
  const result = addRetryAfterJitter(reported, entropy);
  emit({kind: 'answerCall', callId: call.callId, result});
  emit({kind: 'count', counter: 'call_refused', reason: result.reason});
  countCall(call, result.reason, emit);
  logCall(state, call, 'Call refused.', at, emit, {
    reason: result.reason,
    outcome: result.outcome,
    retryAfterMs: result.retryAfterMs,
  });
}

function countCall({route}: MeshCall, outcome: string, emit: MeshEmit): void {
  const {name} = route;
  emit({kind: 'countRoute', counter: 'route_calls', route: name, outcome});
}

/** Replaces a refusal that promises `not-run`, for a call that may have run. */
function toUnknownOutcome(refusal: Refusal): Refusal {
  if (refusal.outcome === 'unknown') {
    return refusal;
  }
  return weakenToUnknown(createRefusal('attempt_lost'));
}

function addRetryAfterJitter(refusal: Refusal, entropy: number): Refusal {
  const {retryAfterMs} = refusal;
  if (retryAfterMs === undefined) {
    return refusal;
  }
  const factor = 1 + RETRY_AFTER_JITTER * (entropy / 2 ** 32);
  return {...refusal, retryAfterMs: Math.round(retryAfterMs * factor)};
}

function logCall(
  state: MeshState,
  call: MeshCall,
  message: string,
  at: number,
  emit: MeshEmit,
  fields: Readonly<Record<string, string | number | undefined>>,
): void {
  emit({
    kind: 'log',
    level: 'info',
    part: 'entry',
    message,
    fields: {
      requestId: call.info.requestId,
      route: call.route.name,
      service: call.service,
      version: call.version,
      nested: call.nested ? call.info.parentId : undefined,
      asked: call.asked,
      reached: call.reached,
      timeoutMs: call.info.timeoutMs,
      aimLeftMs: Math.round(call.aimAt - call.arrivedAt),
      unreadMs: Math.round(call.unreadMs) || undefined,
      tookMs: Math.round(at - call.arrivedAt),
      knowledgeAgeMs: getKnowledgeAgeMs(state, at),
      ...fields,
    },
  });
}

/** Drops a call whose caller disconnected, and cancels its attempts. */
export function cancelMeshCall(
  state: MeshState,
  callId: string,
  at: number,
  emit: MeshEmit,
): void {
  const call = state.calls.get(callId);
  if (call === undefined) {
    return;
  }
  cancelAttempts(state, call, emit);
  state.calls.delete(callId);
  emit({kind: 'count', counter: 'call_refused', reason: 'call_cancelled'});
  logCall(state, call, 'Caller disconnected before its answer.', at, emit, {});
}
