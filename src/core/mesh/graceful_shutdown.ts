/** A planned stop: what is still accepted, and when the process may exit. */
import {createRefusal} from '../refusals.js';
import {refuseCall} from './call_lifecycle.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {LogFields, MeshEmit, MeshEvent} from './mesh_types.js';
import {refuseAllWaiting} from './owner_attempts.js';
import {
  ACCEPT_ATTEMPTS_MS,
  ACCEPT_CALLS_MS,
  getStopDeadline,
} from './stop_deadline.js';
import {broadcastToPeers} from './broadcast_to_peers.js';

/** Time without calls and attempts after which a stopping proxy may exit. */
const QUIET_BEFORE_EXIT_MS = 500;

/**
 * Begins a planned stop. The proxy is no longer ready, so the platform stops
 * sending callers.
 */
export function beginStop(state: MeshState, at: number, emit: MeshEmit): void {
  if (state.stopRequestedAt !== undefined) {
    return;
  }
  state.stopRequestedAt = at;
  emit({
    kind: 'log',
    level: 'info',
    part: 'daemon',
    message: 'Planned stop begins.',
    fields: {
      calls: state.calls.size,
      running: state.work.running.size,
      instance: getOwnInstance(state)?.id,
    },
  });
}

/** Notifies peers to send no new attempts here, once it is time. */
export function announceLeavingIfDue(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {stopRequestedAt, leaving, settings} = state;
  if (
    stopRequestedAt === undefined ||
    leaving ||
    at - stopRequestedAt < ACCEPT_ATTEMPTS_MS
  ) {
    return;
  }
  state.leaving = true;
  broadcastToPeers(state, {kind: 'leaving', address: settings.address}, emit);
}

/**
 * Ends a planned stop once the proxy is idle and its answers are written, or at the stop
 * deadline, where the remaining calls and waiting attempts are refused. From then on
 * nothing is taken, so that no run begins whose connection the end of the process would
 * close.
 * Peers are told, and what they have sent before is refused.
 * @param state - This proxy's state.
 * @param event - The tick.
 * @param unsentBytes - Bytes of answers that are still to be written.
 * @param emit - Receives effects.
 */
export function endStopIfDue(
  state: MeshState,
  event: Pick<MeshEvent, 'at' | 'entropy'>,
  unsentBytes: number,
  emit: MeshEmit,
): void {
  const {stopRequestedAt, work, calls, linkBacklog, settings} = state;
  const deadlineAt = getStopDeadline(state);
  if (
    stopRequestedAt === undefined ||
    deadlineAt === undefined ||
    state.stopped
  ) {
    return;
  }
  const {at} = event;
  // Answers can wait for the bandwidth, or for their readers, long after their runs.
  const idle =
    unsentBytes === 0 &&
    calls.size === 0 &&
    work.running.size === 0 &&
    work.queue.length === 0 &&
    linkBacklog.waiting.length === 0;
  const quiet = at - state.lastWorkAt >= QUIET_BEFORE_EXIT_MS;
  const served = at - stopRequestedAt >= ACCEPT_CALLS_MS;
  const isOver = at >= deadlineAt;
  if (isOver) {
    logCutWork(state, at, emit);
    for (const call of [...calls.values()]) {
      call.mayHaveRun ||= call.inFlight.size > 0;
      refuseCall(state, call, createRefusal('proxy_stopping'), event, emit);
    }
    refuseAllWaiting(state, at, 'proxy_stopping', emit);
  }
  if (isOver || (served && idle && quiet)) {
    state.stopped = true;
    const {address} = settings;
    const message = {kind: 'leaving', address, final: true} as const;
    broadcastToPeers(state, message, emit);
    emit({kind: 'stopped'});
  }
}

/** Logs what the end of a planned stop cuts. */
function logCutWork(
  {calls, work, stopRequestedAt = 0}: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const logCut = (
    part: 'entry' | 'owner',
    {deadlineAt, arrivedAt}: {deadlineAt: number; arrivedAt: number},
    ids: LogFields,
  ) => {
    emit({kind: 'count', counter: 'stop_cut', reason: part});
    emit({
      kind: 'log',
      level: 'warn',
      part,
      message: 'Planned stop cuts a request.',
      fields: {
        ...ids,
        arrivedAfterMs: Math.round(arrivedAt - stopRequestedAt),
        deadlineLeftMs: Math.round(deadlineAt - at),
      },
    });
  };
  for (const call of calls.values()) {
    if (call.inFlight.size > 0) {
      const {info, route} = call;
      logCut('entry', call, {requestId: info.requestId, route: route.name});
    }
  }
  for (const run of work.running.values()) {
    const {requestId, attemptId, route} = run.attempt;
    logCut('owner', run, {requestId, attemptId, route});
  }
}
