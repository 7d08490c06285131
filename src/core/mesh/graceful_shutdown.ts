/** A planned stop: what is still taken, and when the process may end. */
import {createRefusal} from '../refusals.js';
import {refuseCall} from './call_lifecycle.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {MeshEmit, MeshEvent} from './mesh_types.js';
import {getStopDeadline} from './stop_deadline.js';
import {broadcastToPeers} from './broadcast_to_peers.js';

/**
 * Time that a stopping proxy goes on taking work: the platform asks every
 * second whether it is ready and stops sending callers after two misses.
 */
const ACCEPT_CALLS_MS = 2_600;

/**
 * Time for which the upstream of a stopping proxy still gets new work: an idle
 * upstream for the whole stop would cost the fleet its slots at each restart.
 * What comes last usually ends before the proxy may end.
 */
const ACCEPT_ATTEMPTS_MS = 1_800;

/** Quiet time after which a stopping proxy may end, in milliseconds. */
const QUIET_BEFORE_EXIT_MS = 500;

/** Begins a planned stop: the platform sends no more callers. */
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

/** Tells peers in time that no new work is taken here any more. */
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

/** Ends a planned stop once nothing arrives and nothing is under way. */
export function endStopIfDue(
  state: MeshState,
  event: Pick<MeshEvent, 'at' | 'entropy'>,
  emit: MeshEmit,
): void {
  const {stopRequestedAt, work, calls} = state;
  const deadlineAt = getStopDeadline(state);
  if (
    stopRequestedAt === undefined ||
    deadlineAt === undefined ||
    state.stopped
  ) {
    return;
  }
  const {at} = event;
  const idle =
    calls.size === 0 && work.running.size === 0 && work.queue.length === 0;
  const quiet = at - state.lastWorkAt >= QUIET_BEFORE_EXIT_MS;
  const served = at - stopRequestedAt >= ACCEPT_CALLS_MS;
  const isOver = at >= deadlineAt;
  if (isOver) {
    for (const call of [...calls.values()]) {
      call.mayHaveRun ||= call.inFlight.size > 0;
      refuseCall(state, call, createRefusal('proxy_stopping'), event, emit);
    }
  }
  if (isOver || (served && idle && quiet)) {
    state.stopped = true;
    emit({kind: 'stopped'});
  }
}
