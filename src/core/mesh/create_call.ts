/** Decides whether a call is accepted, and creates its state. */
import {isQuarantined} from '../owner/crash_suspects.js';
import {Refusal, createRefusal} from '../refusals.js';
import {recordCallerBudget} from './caller_budgets.js';
import {MeshCall} from './mesh_calls.js';
import {MeshRoute} from '../../model/mesh.js';
import {MeshState} from './mesh_state.js';
import {MeshCallInfo, MeshEvent, MeshEventBody} from './mesh_types.js';
import {chooseBackend, findMeshRoute} from './route_table.js';
import {getPriorRunMs} from './run_estimates.js';
import {ACCEPT_CALLS_MS, mayBeCutByStop} from './stop_deadline.js';
import {RunningAttempt} from './work_queue.js';

/** Retry delay advised while no configuration is known. */
const UNKNOWN_RETRY_AFTER_MS = 400;

/** Retry delay that a stopping proxy advises: other proxies accept the call. */
const STOPPING_RETRY_AFTER_MS = 50;

/**
 * Creates the state of a call.
 * @returns The call, or the refusal where it is not accepted.
 */
export function tryCreateCall(
  state: MeshState,
  {at, entropy}: Pick<MeshEvent, 'at' | 'entropy'>,
  arrival: Extract<MeshEventBody, {kind: 'callArrived'}>,
): MeshCall | Refusal {
  const {callId, call: info, receiveMs = 0, unreadMs = 0} = arrival;
  const found = findRouteOrRefusal(state, info);
  if ('reason' in found) {
    return found;
  }
  const {route, version} = found;
  if (isQuarantined(state.suspects, info.fingerprint, at)) {
    return createRefusal('crash_suspected', state.settings.quarantineMs);
  }
  const expectedMs =
    state.answerMsByRoute.get(route.name) ?? getPriorRunMs(route.aimMs);
  const wholeAt = at - unreadMs;
  // The caller counts from when it began to send, the operator from the whole request.
  const sentAt = wholeAt - receiveMs;
  const deadlineAt = Math.min(
    wholeAt + route.timeoutMs,
    sentAt + (info.timeoutMs ?? Infinity),
  );
  const toleratedForMs = ACCEPT_CALLS_MS;
  if (mayBeCutByStop(state, {deadlineAt, expectedMs, toleratedForMs}, at)) {
    return createRefusal('proxy_stopping', STOPPING_RETRY_AFTER_MS);
  }
  const parent = findParentRun(state, info);
  const nested = parent !== undefined;
  const spentMs = nested
    ? 0
    : recordCallerBudget(state.callerBudgets, route.name, info.timeoutMs);
  return {
    callId,
    info,
    route,
    service: chooseBackend(route, entropy),
    version,
    nested,
    repeated: parent?.attempt.repeated === true,
    arrivedAt: at,
    unreadMs,
    aimAt: sentAt + route.aimMs - spentMs,
    deadlineAt,
    tried: new Set(),
    inFlight: new Map(),
    asked: 0,
    reached: 0,
    mayHaveRun: false,
  };
}

/**
 * Finds the route of a request, which its head determines.
 * @returns The route with the version that has it, or the refusal where there is none.
 */
export function findRouteOrRefusal(
  {stopped, routeTable, fleet}: MeshState,
  {host, path}: Pick<MeshCallInfo, 'host' | 'path'>,
): {readonly route: MeshRoute; readonly version: number} | Refusal {
  if (stopped) {
    return createRefusal('proxy_stopping', STOPPING_RETRY_AFTER_MS);
  }
  if (routeTable === undefined || fleet.revision === 0) {
    return createRefusal('config_unknown', UNKNOWN_RETRY_AFTER_MS);
  }
  const route = findMeshRoute(routeTable, host, path);
  return route === undefined
    ? createRefusal('no_route')
    : {route, version: routeTable.version};
}

/**
 * Finds the run at this proxy's upstream that made a call. Identifiers of other
 * requests don't count, so that a caller cannot gain precedence by the form of its
 * identifiers.
 */
function findParentRun(
  {work}: MeshState,
  {parentId}: MeshCallInfo,
): RunningAttempt | undefined {
  if (parentId === undefined) {
    return undefined;
  }
  const runs = [...work.running.values()];
  return runs.find(({attempt}) => attempt.requestId === parentId);
}
