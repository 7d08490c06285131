/**
 * Detects crashes of the upstream beside this proxy. Notifies peers when it
 * goes down or comes back, and of the requests that were running at a crash.
 */
import {createUnknownOutcomeRefusal} from '../failure_refusals.js';
import {recordCrash} from '../owner/crash_suspects.js';
import {markAcceptingAgain} from './cold_detection.js';
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
import {broadcastToPeers} from './broadcast_to_peers.js';
import {clearLostRuns, tryStartProbe} from './upstream_health.js';
import {RunningAttempt} from './work_queue.js';

/** Largest number of suspects that the schema of a `suspects` message allows. */
const MAX_SUSPECTS_PER_MESSAGE = 64;

/**
 * Defers the outcome of a run whose connection was reset until a connection
 * attempt shows whether the upstream crashed. An earlier outcome would let the
 * entry repeat the request before other proxies know that it is suspected.
 */
export function deferLostRun(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  emit: MeshEmit,
): void {
  const {attemptId, fingerprint} = run.attempt;
  const {suspect} = run;
  state.health.lost.push({attemptId, fingerprint, suspect, lostAt: at});
  if (tryStartProbe(state.health, at, true)) {
    emit({kind: 'probeConnect'});
  }
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
  const lostRuns = [...health.lost];
  if (accepted) {
    if (!health.down && hasLostAllRuns(state)) {
      markAcceptingAgain(state, at);
    }
    health.lost = [];
    markUpstreamUp(state, at, emit);
  } else {
    recordUpstreamCrash(state, at, emit);
    markUpstreamDown(state, at, emit);
  }
  for (const {attemptId} of lostRuns) {
    const run = removeRun(state, attemptId);
    if (run !== undefined) {
      recordOutcome(state.estimates, true);
      finishRun(state, at, run, createUnknownOutcomeRefusal('reset'), emit);
    }
  }
  dispatchWaiting(state, at, emit);
}

/**
 * Reports whether several runs, and no others that ran beside them, were reset: the
 * upstream has probably restarted before the connection attempt. A single reset may
 * concern one request only.
 */
function hasLostAllRuns({health, work}: MeshState): boolean {
  const {lost} = health;
  const lostIds = new Set(lost.map(({attemptId}) => attemptId));
  const firstLostAt = Math.min(...lost.map(({lostAt}) => lostAt));
  return (
    lost.length > 1 &&
    [...work.running].every(
      ([id, {startedAt}]) => lostIds.has(id) || startedAt >= firstLostAt,
    )
  );
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

/** Records every request whose run was reset by the crash as a suspect. */
function recordUpstreamCrash(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {health, settings, suspects} = state;
  const lost = clearLostRuns(health, at);
  if (lost.length === 0) {
    return;
  }
  health.crashCount += 1;
  const crash = `${settings.address}/${settings.startedAt}/${health.crashCount}`;
  const expiresAt = at + settings.quarantineMs;
  for (const {fingerprint, suspect} of lost) {
    const isOnlySuspect = suspect || lost.length === 1;
    recordCrash(
      suspects,
      fingerprint,
      {crash, isOnlySuspect, expiresAt},
      effect => {
        if (effect.kind === 'count') {
          const {reason} = effect;
          emit({kind: 'count', counter: 'crash_suspected', reason});
        } else if (effect.kind === 'log') {
          const {level, message} = effect;
          emit({kind: 'log', level, part: 'crash', message, fields: {crash}});
        }
      },
    );
  }
  broadcastSuspects(
    state,
    lost.map(({fingerprint}) => fingerprint),
    emit,
  );
}

/**
 * Sends suspects at once to every proxy with an open link. Crashes are rare, so
 * this causes little traffic.
 */
function broadcastSuspects(
  state: MeshState,
  fingerprints: readonly string[],
  emit: MeshEmit,
): void {
  const known = state.suspects.byFingerprint;
  const suspects = [...new Set(fingerprints)]
    .flatMap(fingerprint => known.get(fingerprint) ?? [])
    .slice(0, MAX_SUSPECTS_PER_MESSAGE);
  broadcastToPeers(state, {kind: 'suspects', suspects}, emit);
}

/**
 * Sends the newest suspects to a proxy whose link has opened: it may have started, or
 * was cut off, since they were broadcast.
 * @param state - This proxy's state.
 * @param to - The proxy.
 * @param emit - Receives effects.
 */
export function sendSuspects(
  {suspects: {byFingerprint}}: MeshState,
  to: string,
  emit: MeshEmit,
): void {
  if (byFingerprint.size > 0) {
    const suspects = [...byFingerprint.values()].slice(
      -MAX_SUSPECTS_PER_MESSAGE,
    );
    emit({kind: 'sendMessage', to, message: {kind: 'suspects', suspects}});
  }
}
