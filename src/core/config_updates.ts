/** Applies configuration from the source and from peers, and forwards it. */
import {VmChanges} from '../model/platform.js';
import {
  acceptSubmissions,
  adoptState,
  getSubmissions,
  resetToActive,
} from './config/config_log.js';
import {compareDigest, isHalted} from './config/digests.js';
import {ProxyState, viewAdoption, viewStartup} from './proxy_state.js';
import {advanceAdoption, recordHeardSequence} from './spread/adoption.js';
import {pullIfBehind} from './spread/dissemination.js';
import {mergeVmList, recordRemovals} from './spread/membership.js';
import {PushUpdate, pushToChildren, pushToAllZones} from './spread/push.js';
import {
  startWatchCall,
  recordSourceAnswer,
  rankWatchers,
} from './spread/source_watch.js';
import {
  findPeerAhead,
  findStartState,
  getRequiredSequence,
} from './spread/startup.js';
import {Emit, Event} from './types.js';

/** Interval at which a proxy checks whether it must watch the source. */
const WATCHER_CHECK_INTERVAL_MS = 250;

/** Pulls from a peer whose join reply shows a newer configuration. */
export function pullDuringStartup(
  state: ProxyState,
  at: number,
  entropy: number,
  emit: Emit,
): void {
  const {startup, log, spread, adoption} = state;
  const address = findPeerAhead(startup, adoption.confirmedSequence, entropy);
  if (address !== undefined) {
    pullIfBehind(
      spread,
      log,
      address,
      adoption.confirmedSequence + 1,
      at,
      emit,
    );
  }
}

/** Calls the source if this proxy must watch it. */
export function watchSource(state: ProxyState, at: number, emit: Emit): void {
  const {log, membership, settings, startup, watch} = state;
  if (watch.callPending || at < watch.nextCallAt) {
    return;
  }
  const hasReadyPeer = [...startup.replies.values()].some(reply => reply.ready);
  const ranked = rankWatchers(log.table, membership, settings.zone, at);
  const isWatcher = ranked
    .slice(0, settings.dissemination.watchersPerZone)
    .includes(settings.id);
  const own = log.table.upstreams.get(settings.id);
  // A proxy that the configuration does not list in its zone is never one of
  // the zone's watchers, and without this rule might wait for updates forever.
  const isListed = own?.zone === settings.zone;
  // If no ready peer has reached the required sequence, only the source can
  // provide it.
  const peersSuffice =
    hasReadyPeer &&
    findPeerAhead(startup, getRequiredSequence(startup, settings) - 1, 0) !==
      undefined;
  const isColdStart = startup.additionalPeers.length > 0;
  const mustWatch = startup.ready
    ? isWatcher || !isListed
    : isColdStart || !peersSuffice;
  if (!mustWatch) {
    watch.nextCallAt = at + WATCHER_CHECK_INTERVAL_MS;
    return;
  }
  startWatchCall(watch, log, membership, settings, at, emit);
}

export function reduceSourceAnswered(
  state: ProxyState,
  event: Extract<Event, {kind: 'sourceAnswered'}>,
  emit: Emit,
): void {
  const {log, membership, settings, startup, watch} = state;
  const {at, entropy, head, vmList} = event;
  startup.sourceAnswered = true;
  if (head < log.latest.sequence) {
    emit({kind: 'count', counter: 'update_ignored', reason: 'stale_source'});
  }
  const folded = acceptSubmissions(log, event.submissions, emit);
  const vmChanges =
    vmList === undefined ? undefined : mergeVmList(membership, vmList, at);
  const hasUpdates = folded.length > 0 || vmChanges !== undefined;
  recordSourceAnswer(watch, settings, head, hasUpdates, at, entropy);
  if (vmChanges !== undefined) {
    pushVmChanges(state, vmChanges, true, emit);
  }
  advanceConfig(state, at, emit);
  watchSource(state, at, emit);
}

/**
 * Forwards the submissions that have been adopted. Those from a push go on down
 * the zone's tree, and those from a pull enter this tree at its root. All
 * others go to every zone of the region, because no other proxy may have them.
 */
function pushAdopted(
  state: ProxyState,
  afterSequence: number,
  cause: AdvanceCause,
  emit: Emit,
): void {
  const {log, settings} = state;
  const submissions = getSubmissions(log, afterSequence, log.active.sequence);
  if (submissions.length === 0) {
    return;
  }
  const push: PushUpdate = {kind: 'submissions', payload: submissions};
  if (cause === 'push') {
    pushToChildren(log.table, settings, push, false, emit);
  } else if (cause === 'pull') {
    pushToChildren(log.table, settings, push, true, emit);
  } else {
    pushToAllZones(log.table, settings, push, emit, settings.region);
  }
}

export function pushVmChanges(
  state: ProxyState,
  changes: VmChanges,
  isRoot: boolean,
  emit: Emit,
): void {
  // A base of 0 stands for the whole list, which gossip transfers on demand.
  if (changes.base > 0) {
    const update: PushUpdate = {kind: 'vmChanges', payload: changes};
    pushToChildren(state.log.table, state.settings, update, isRoot, emit);
  }
}

/** What caused the log to advance. */
type AdvanceCause = 'push' | 'pull' | 'announced';

/** Becomes ready, or announces and adopts versions, as the log permits. */
export function advanceConfig(
  state: ProxyState,
  at: number,
  emit: Emit,
  cause: AdvanceCause = 'announced',
): void {
  const {startup, log, adoption} = state;
  markRemovedUpstreams(state);
  if (!startup.ready) {
    tryBecomeReady(state, at, emit);
    return;
  }
  if (isHalted(log)) {
    return;
  }
  const before = log.active.sequence;
  advanceAdoption(adoption, viewAdoption(state, at), emit);
  if (log.active.sequence > before) {
    pushAdopted(state, before, cause, emit);
  }
}

function tryBecomeReady(state: ProxyState, at: number, emit: Emit): void {
  const {startup, log, adoption} = state;
  if (isHalted(log)) {
    // No request depends on this log yet, and most peers have another one.
    emit({kind: 'count', counter: 'digest_mismatch', reason: 'start_over'});
    resetToActive(log);
    return;
  }
  const start = findStartState(startup, viewStartup(state, at));
  if (start === undefined || conflictsWithPeers(state, emit)) {
    return;
  }
  adoptState(log, start, at, emit);
  recordHeardSequence(adoption, start.sequence);
  startup.ready = true;
  emit({
    kind: 'log',
    level: 'info',
    part: 'config',
    message: `Ready at version ${start.version}.`,
  });
}

/**
 * Compares the log with the digests that peers sent before it was complete. If
 * most of them differ, the next call of {@link tryBecomeReady} resets the log.
 */
function conflictsWithPeers(state: ProxyState, emit: Emit): boolean {
  const {log, membership} = state;
  for (const {info} of membership.members.values()) {
    compareDigest(log, info.id, info.sequence, info.digest, emit);
  }
  return isHalted(log);
}

/**
 * Marks upstreams as leaving once the newest configuration removes them, even
 * before this configuration is active.
 */
function markRemovedUpstreams(state: ProxyState): void {
  const {log, membership} = state;
  const {upstreams} = log.latest.config;
  if (log.active.config.upstreams !== upstreams) {
    recordRemovals(membership, log.table.upstreams.keys(), upstreams);
  }
}
