/**
 * Detects crashes of the upstream beside this proxy, and notifies peers when it goes
 * down or comes back.
 */
import {createUnknownOutcomeRefusal} from '../failure_refusals.js';
import {Refusal} from '../refusals.js';
import {Answer} from '../types.js';
import {broadcastToPeers} from './broadcast_to_peers.js';
import {markAcceptingAgain} from './cold_detection.js';
import {finishAnsweredRun} from './completed_runs.js';
import {recordUpstreamCrash} from './crash_records.js';
import {MeshState} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';
import {
  dispatchWaiting,
  finishRun,
  refuseAllWaiting,
  removeRun,
} from './owner_attempts.js';
import {resetRateLimit} from './rate_limit.js';
import {recordOutcome} from './run_estimates.js';
import {
  BrokenRun,
  LostRun,
  scheduleRecheck,
  tryStartProbe,
} from './upstream_health.js';
import {RunningAttempt} from './work_queue.js';

/**
 * Defers the outcome of a run whose connection the upstream ended, at whatever point of
 * the answer, until a connection attempt shows whether the upstream crashed. An earlier
 * outcome would let the entry repeat the request before other proxies know that it is
 * suspected.
 * @param result - The outcome if the upstream has not crashed.
 */
export function deferBrokenRun(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  result: Answer | Refusal,
  emit: MeshEmit,
): void {
  const {health} = state;
  health.broken.push({...createLostRun(run, at), result});
  // A probe before this one says nothing of the time after it.
  health.recheckAt = undefined;
  if (tryStartProbe(health, at, true)) {
    emit({kind: 'probeConnect'});
  }
}

/** Creates the record of a run that ended without an answer. */
export function createLostRun(
  {attempt: {attemptId, fingerprint}, suspect}: RunningAttempt,
  at: number,
): LostRun {
  return {attemptId, fingerprint, suspect, lostAt: at};
}

/** Handles the result of a connection attempt to the upstream. */
export function handleConnectProbe(
  state: MeshState,
  at: number,
  accepted: boolean,
  emit: MeshEmit,
): void {
  const {health} = state;
  health.probing = false;
  const deferred = health.broken.filter(({result}) => result !== undefined);
  if (accepted) {
    if (!health.down && hasLostAllRuns(state)) {
      markAcceptingAgain(state, at);
    }
    markUpstreamUp(state, at, emit);
  } else {
    recordUpstreamCrash(state, at, emit);
    markUpstreamDown(state, at, emit);
  }
  for (const broken of deferred) {
    const {attemptId, result} = broken;
    broken.result = undefined;
    const run = removeRun(state, attemptId);
    if (run !== undefined && result !== undefined) {
      finishBrokenRun(state, at, run, result, accepted, emit);
    }
  }
  if (accepted) {
    scheduleRecheck(health, at);
  }
  dispatchWaiting(state, at, emit);
}

/**
 * Finishes a run whose outcome was deferred. An answer that only the end of its
 * connection delimits is not known to be whole if the upstream ended with it.
 */
function finishBrokenRun(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  result: Answer | Refusal,
  isUpstreamRunning: boolean,
  emit: MeshEmit,
): void {
  if (result.kind === 'answer' && isUpstreamRunning) {
    finishAnsweredRun(state, at, run, result, emit);
    return;
  }
  recordOutcome(state.estimates, true);
  const refusal =
    result.kind === 'answer'
      ? createUnknownOutcomeRefusal('truncated')
      : result;
  finishRun(state, at, run, refusal, emit);
}

/**
 * Reports whether several runs, and no others that ran beside them, were reset: the
 * upstream has probably restarted before the connection attempt. A single reset may
 * concern one request only.
 */
function hasLostAllRuns({health, work}: MeshState): boolean {
  const lost = health.broken.filter(({result}) => result !== undefined);
  const lostIds = new Set(lost.map(({attemptId}) => attemptId));
  const firstLostAt = Math.min(...lost.map(({lostAt}) => lostAt));
  return (
    lost.filter(isReset).length > 1 &&
    [...work.running].every(
      ([id, {startedAt}]) => lostIds.has(id) || startedAt >= firstLostAt,
    )
  );
}

function isReset({result}: BrokenRun): boolean {
  return result?.kind === 'refusal' && result.reason === 'attempt_lost';
}

/** Marks the upstream as up and notifies peers, if it was down. */
export function markUpstreamUp(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  if (!state.health.down) {
    return;
  }
  state.health.down = false;
  markAcceptingAgain(state, at);
  state.estimates.failing = 0;
  broadcastUpstreamState(state, true, emit);
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message: 'Upstream accepts connections again.',
    fields: {instance: state.health.registeredId},
  });
}

/**
 * Marks the upstream as down, notifies peers if it was up, and refuses all
 * waiting attempts.
 */
export function markUpstreamDown(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {health} = state;
  if (!health.down) {
    health.down = true;
    resetRateLimit(state.work.limit);
    broadcastUpstreamState(state, false, emit);
    emit({
      kind: 'log',
      level: 'warn',
      part: 'owner',
      message:
        'Upstream refuses connections; refusing its work. Check that it is running.',
      fields: {
        instance: health.registeredId,
        queued: state.work.queue.length,
        answeredMsAgo: Math.round(at - health.answeredAt),
      },
    });
  }
  refuseAllWaiting(state, at, 'upstream_down', emit);
}

function broadcastUpstreamState(
  state: MeshState,
  up: boolean,
  emit: MeshEmit,
): void {
  const {registeredId: instanceId} = state.health;
  if (instanceId === undefined) {
    return;
  }
  broadcastToPeers(state, {kind: 'upstreamState', instanceId, up}, emit);
}
