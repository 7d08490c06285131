/** The entry role: takes calls, sends attempts, and gives each its answer. */
import {MeshAttempt} from '../../model/mesh.js';
import {getOrCreateLoad} from '../entry/load_view.js';
import {isQuarantined} from '../owner/crash_suspects.js';
import {Refusal, createRefusal, withUnknownOutcome} from '../refusals.js';
import {Answer} from '../types.js';
import {chooseInstance} from './choose_instance.js';
import {MeshCall, SentAttempt} from './mesh_calls.js';
import {MeshState, getLinkAddress} from './mesh_state.js';
import {MeshCallInfo, MeshEmit, MeshEvent} from './mesh_types.js';
import {creditRetryTokens} from './retry_tokens.js';
import {chooseBackend, findMeshRoute} from './route_table.js';
import {getPriorRunMs} from './run_estimates.js';
import {getKnowledgeAgeMs} from './known_state.js';
import {finishesBeforeStop} from './stop_deadline.js';

/** Owners that one call may ask; a refusal costs a round trip, no work. */
export const MAX_OWNERS_ASKED = 4;

/** Least time in which an attempt has a chance to finish, in milliseconds. */
const MIN_ATTEMPT_MS = 4;

/** Wait that a caller is advised where nothing better is known. */
const DEFAULT_RETRY_AFTER_MS = 400;

/** Wait advised by a stopping proxy: others take the call at once. */
const STOPPING_RETRY_AFTER_MS = 50;

/** Part of a wait that is drawn at random, so that callers do not return together. */
const RETRY_AFTER_JITTER = 0.5;

type EventStamp = Pick<MeshEvent, 'at' | 'entropy'>;

/** Accepts a caller's request, or refuses it at once. */
export function acceptMeshCall(
  state: MeshState,
  stamp: EventStamp,
  callId: string,
  info: MeshCallInfo,
  emit: MeshEmit,
): void {
  const {at} = stamp;
  state.lastWorkAt = at;
  const call = tryCreateCall(state, stamp, callId, info);
  if ('reason' in call) {
    refuseUnaccepted(state, callId, info, call, at, emit);
    return;
  }
  state.calls.set(callId, call);
  const proxies = state.fleet.instances.size;
  creditRetryTokens(state.retries, state.settings, proxies, call.service, at);
  if (!trySendAttempt(state, stamp, call, emit)) {
    const refusal = createRefusal('no_upstream', DEFAULT_RETRY_AFTER_MS);
    refuseCall(state, call, refusal, stamp, emit);
  }
}

function tryCreateCall(
  state: MeshState,
  {at, entropy}: EventStamp,
  callId: string,
  info: MeshCallInfo,
): MeshCall | Refusal {
  const {routeTable: table} = state;
  if (table === undefined || state.fleet.revision === 0) {
    return createRefusal('config_unknown', DEFAULT_RETRY_AFTER_MS);
  }
  const route = findMeshRoute(table, info.host, info.path);
  if (route === undefined) {
    return createRefusal('no_route');
  }
  if (isQuarantined(state.suspects, info.fingerprint, at)) {
    return createRefusal('crash_suspected', state.settings.quarantineMs);
  }
  const usualMs =
    state.answerMsByRoute.get(route.name) ?? getPriorRunMs(route.aimMs);
  if (!finishesBeforeStop(state, usualMs, at)) {
    return createRefusal('proxy_stopping', STOPPING_RETRY_AFTER_MS);
  }
  const timeoutMs = Math.min(route.timeoutMs, info.timeoutMs ?? Infinity);
  return {
    callId,
    info,
    route,
    service: chooseBackend(route, entropy),
    version: table.version,
    nested: isNested(state, info),
    arrivedAt: at,
    deadlineAt: at + timeoutMs,
    tried: new Set(),
    inFlight: new Map(),
    asked: 0,
    reached: 0,
    mayHaveRun: false,
  };
}

/**
 * Only a run that is under way counts, so that no caller gets ahead by the
 * shape of its identifiers.
 */
function isNested({work}: MeshState, {parentId}: MeshCallInfo): boolean {
  if (parentId === undefined) {
    return false;
  }
  const runs = [...work.running.values()];
  return runs.some(({attempt}) => attempt.requestId === parentId);
}

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
 * @returns False where none is left, or no time.
 */
export function trySendAttempt(
  state: MeshState,
  {at, entropy}: EventStamp,
  call: MeshCall,
  emit: MeshEmit,
): boolean {
  const {route, service, tried} = call;
  if (call.deadlineAt - at < MIN_ATTEMPT_MS || call.asked >= MAX_OWNERS_ASKED) {
    return false;
  }
  const instance = chooseInstance(state, service, route, tried, at, entropy);
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

function createAttempt(
  state: MeshState,
  call: MeshCall,
  instanceId: string,
  at: number,
): MeshAttempt {
  const {route, info} = call;
  const timeoutMs = call.deadlineAt - at;
  return {
    attemptId: `${call.callId}.${call.tried.size}`,
    requestId: info.requestId,
    service: call.service,
    instanceId,
    route: route.name,
    callerService: state.settings.service,
    idempotent: route.idempotent,
    ...(call.nested ? {nested: true} : {}),
    priority: route.priority,
    // A run that is refused its own call has worked in vain, so that a call
    // of this kind may be late as long as its run still waits.
    aimMs: call.nested ? timeoutMs : call.arrivedAt + route.aimMs - at,
    timeoutMs,
    routeAimMs: route.aimMs,
    fingerprint: info.fingerprint,
  };
}

/** Detaches an attempt from its call. */
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

/** Breaks off what is still under way for a call. */
export function cancelAttempts(
  state: MeshState,
  call: MeshCall,
  emit: MeshEmit,
): void {
  for (const attemptId of [...call.inFlight.keys()]) {
    detachAttempt(state, attemptId);
    emit({kind: 'cancelAttempt', attemptId});
  }
}

/** Gives a call the upstream's answer. */
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
  const tookMs = at - call.arrivedAt;
  emit({kind: 'observe', histogram: 'call_seconds', seconds: tookMs / 1_000});
  logCall(state, call, 'Call answered.', at, emit, {
    status: answer.status,
    instance: sent.instanceId,
  });
}

/** Gives a call its refusal. */
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
  const truthful = call.mayHaveRun ? weakenOutcome(refusal) : refusal;
  const result = addRetryAfterJitter(truthful, entropy);
  emit({kind: 'answerCall', callId: call.callId, result});
  emit({kind: 'count', counter: 'call_refused', reason: result.reason});
  logCall(state, call, 'Call refused.', at, emit, {
    reason: result.reason,
    outcome: result.outcome,
    retryAfterMs: result.retryAfterMs,
  });
}

/** A status that promises `not run` must not be given to what may have run. */
function weakenOutcome(refusal: Refusal): Refusal {
  if (refusal.outcome === 'unknown') {
    return refusal;
  }
  return withUnknownOutcome(createRefusal('attempt_lost'));
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
      tookMs: Math.round(at - call.arrivedAt),
      knowledgeAgeMs: getKnowledgeAgeMs(state, at),
      ...fields,
    },
  });
}

/** Forgets a call whose caller went away, and stops its work. */
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
  logCall(state, call, 'Caller left before its answer.', at, emit, {});
}
