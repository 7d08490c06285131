/** Takes configuration from the source and peers into force, and passes it on. */
import {VmChanges} from '../model/platform.js';
import {
  acceptSubmissions,
  adoptState,
  getSubmissions,
  restartLog,
} from './config/config_log.js';
import {compareDigest, isHalted} from './config/digests.js';
import {ProxyState, viewAdoption, viewStartup} from './proxy_state.js';
import {advanceAdoption, noteHeard} from './spread/adoption.js';
import {pullIfBehind} from './spread/dissemination.js';
import {mergeVmList, noteRemovals} from './spread/membership.js';
import {PushNews, pushNews, pushToAllZones} from './spread/push.js';
import {
  callSource,
  noteSourceAnswered,
  rankWatchers,
} from './spread/source_watch.js';
import {
  findPeerAhead,
  findStartState,
  getRequiredSequence,
} from './spread/startup.js';
import {Emit, Event} from './types.js';

/** Time after which a proxy checks again whether it is a watcher. */
const WATCHER_CHECK_INTERVAL_MS = 250;

/** Pulls from a peer that answered the join and is ahead. */
export function pullDuringStartup(
  state: ProxyState,
  at: number,
  entropy: number,
  emit: Emit,
): void {
  const {startup, log, spread, adoption} = state;
  const address = findPeerAhead(startup, adoption.vouched, entropy);
  if (address !== undefined) {
    pullIfBehind(spread, log, address, adoption.vouched + 1, at, emit);
  }
}

/** Decides whether this proxy watches the source, and calls it if so. */
export function watchSource(state: ProxyState, at: number, emit: Emit): void {
  const {log, membership, settings, startup, watch} = state;
  if (watch.waiting || at < watch.nextAt) {
    return;
  }
  const peerReady = [...startup.replies.values()].some(reply => reply.ready);
  const ranked = rankWatchers(log.table, membership, settings.zone, at);
  const isWatcher = ranked
    .slice(0, settings.dissemination.watchersPerZone)
    .includes(settings.id);
  const own = log.table.upstreams.get(settings.id);
  // One that no zone counts among its own would otherwise wait for ever.
  const isListed = own?.zone === settings.zone;
  // A floor that no ready peer reaches can only be met by the source.
  const peersSuffice =
    peerReady &&
    findPeerAhead(startup, getRequiredSequence(startup, settings) - 1, 0) !==
      undefined;
  const isColdStart = startup.widerCircle.length > 0;
  const mustWatch = startup.ready
    ? isWatcher || !isListed
    : isColdStart || !peersSuffice;
  if (!mustWatch) {
    watch.nextAt = at + WATCHER_CHECK_INTERVAL_MS;
    return;
  }
  callSource(watch, log, membership, settings, at, emit);
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
  noteSourceAnswered(watch, settings, head, hasUpdates, at, entropy);
  if (vmChanges !== undefined) {
    pushVmChanges(state, vmChanges, true, emit);
  }
  advanceConfig(state, at, emit);
  watchSource(state, at, emit);
}

/**
 * Passes on what has come into force: from a push along the zone's tree, and
 * otherwise to every zone of the region, because nobody else may have it.
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
  const push: PushNews = {kind: 'submissions', news: submissions};
  if (cause === 'push') {
    pushNews(log.table, settings, push, false, emit);
  } else if (cause === 'pull') {
    pushNews(log.table, settings, push, true, emit);
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
  // Changes from nothing are the whole list, which gossip brings on demand.
  if (changes.base > 0) {
    const update: PushNews = {kind: 'vmChanges', news: changes};
    pushNews(state.log.table, state.settings, update, isRoot, emit);
  }
}

/** What made the log advance. */
type AdvanceCause = 'push' | 'pull' | 'announced';

/** Becomes ready, or announces and adopts, as far as the log allows. */
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
    // Nothing depends on this copy yet, and most peers hold another one.
    emit({kind: 'count', counter: 'digest_mismatch', reason: 'start_over'});
    restartLog(log);
    return;
  }
  const start = findStartState(startup, viewStartup(state, at));
  if (start === undefined || conflictsWithPeers(state, emit)) {
    return;
  }
  adoptState(log, start, at, emit);
  noteHeard(adoption, start.sequence);
  startup.ready = true;
  emit({
    kind: 'log',
    level: 'info',
    part: 'config',
    message: `Ready at version ${start.version}.`,
  });
}

/**
 * Compares this copy with what peers said before it was complete. The next
 * try starts over where most of them hold another one.
 */
function conflictsWithPeers(state: ProxyState, emit: Emit): boolean {
  const {log, membership} = state;
  for (const {info} of membership.members.values()) {
    compareDigest(log, info.id, info.sequence, info.digest, emit);
  }
  return isHalted(log);
}

/** Upstreams that the newest configuration drops leave before it is in force. */
function markRemovedUpstreams(state: ProxyState): void {
  const {log, membership} = state;
  const {upstreams} = log.latest.config;
  if (log.active.config.upstreams !== upstreams) {
    noteRemovals(membership, log.table.upstreams.keys(), upstreams);
  }
}
