/**
 * Records the requests that were running when the upstream beside this proxy crashed,
 * and notifies peers of them.
 */
import {clearSuspect, isSuspect, recordCrash} from '../owner/crash_suspects.js';
import {broadcastToPeers} from './broadcast_to_peers.js';
import {MeshState} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';
import {LostRun, clearLostRuns} from './upstream_health.js';

/** Largest number of suspects that the schema of a `suspects` message allows. */
const MAX_SUSPECTS_PER_MESSAGE = 64;

/** Records every request that the crash may have interrupted as a suspect. */
export function recordUpstreamCrash(
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
  logCrash(state, crash, lost, at, emit);
  const expiresAt = at + settings.quarantineMs;
  // One that was given up may have run beside another one.
  const suspectCount = lost.filter(({suspect}) => suspect).length;
  for (const {fingerprint, suspect} of lost) {
    const isOnlySuspect = lost.length === 1 || (suspect && suspectCount === 1);
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

/** Logs a crash with the runs that it may have interrupted. */
function logCrash(
  {health, suspects}: MeshState,
  crash: string,
  lost: readonly LostRun[],
  at: number,
  emit: MeshEmit,
): void {
  emit({
    kind: 'log',
    level: 'warn',
    part: 'crash',
    message: 'Upstream crashed while it ran requests; suspecting these.',
    fields: {
      crash,
      instance: health.registeredId,
      runs: lost.length,
      suspects: lost.filter(({suspect}) => suspect).length,
      knownBefore: lost.filter(({fingerprint}) =>
        isSuspect(suspects, fingerprint),
      ).length,
      firstLostMsAgo: Math.round(at - Math.min(...lost.map(r => r.lostAt))),
      attempts: lost
        .map(({attemptId}) => attemptId)
        .join(' ')
        .slice(0, 400),
    },
  });
}

/**
 * Clears the suspicion of a request that ran to completion, at all proxies: with the next
 * crash beside it, those that have not run it since the last one would quarantine it.
 */
export function clearCompletedRequest(
  state: MeshState,
  fingerprint: string,
  emit: MeshEmit,
): void {
  const {suspects} = state;
  if (!isSuspect(suspects, fingerprint)) {
    return;
  }
  clearSuspect(suspects, fingerprint, effect => {
    if (effect.kind === 'count') {
      emit({kind: 'count', counter: 'crash_suspected', reason: effect.reason});
    }
  });
  broadcastSuspects(state, [fingerprint], emit);
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
