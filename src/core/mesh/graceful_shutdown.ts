/** A planned stop: what is still accepted, and when the process may exit. */
import {createRefusal} from '../refusals.js';
import {refuseCall} from './call_lifecycle.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {MeshEmit, MeshEvent} from './mesh_types.js';
import {refuseAllWaiting} from './owner_attempts.js';
import {getStopDeadline} from './stop_deadline.js';
import {broadcastToPeers} from './broadcast_to_peers.js';

/**
 * Least time for which a stopping proxy accepts calls: the platform polls its
 * readiness every second and stops sending callers after two failures.
 */
const ACCEPT_CALLS_MS = 2_600;

/**
 * Time for which peers still send attempts to the upstream of a stopping proxy.
 * If they stopped at once, each restart would cost the fleet the upstream's slots
 * for the whole stop. The last attempts usually finish before the proxy exits.
 */
const ACCEPT_ATTEMPTS_MS = 1_800;

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
 * Ends a planned stop once the proxy is idle, or at the stop deadline, where the
 * remaining calls and waiting attempts are refused. From then on nothing is taken,
 * so that no run begins whose connection the end of the process would close.
 * Peers are told, and what they have sent before is refused.
 */
export function endStopIfDue(
  state: MeshState,
  event: Pick<MeshEvent, 'at' | 'entropy'>,
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
  // Answers that are ready can wait for the bandwidth long after their runs.
  const idle =
    calls.size === 0 &&
    work.running.size === 0 &&
    work.queue.length === 0 &&
    linkBacklog.waiting.length === 0;
  const quiet = at - state.lastWorkAt >= QUIET_BEFORE_EXIT_MS;
  const served = at - stopRequestedAt >= ACCEPT_CALLS_MS;
  const isOver = at >= deadlineAt;
  if (isOver) {
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
