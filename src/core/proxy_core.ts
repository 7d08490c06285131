/**
 * The root reducer: hands each event to the parts that it concerns and
 * collects their effects. The state is owned: the object passed in is changed
 * and returned, because copying it for each request would cost too much.
 */
import {
  acceptFoldState,
  acceptSubmissions,
  ConfigLog,
  createConfigLog,
  adoptState,
  getCatchUp,
  getSubmissions,
  restartLog,
} from './config/config_log.js';
import {compareDigest, getDigestAt, isHalted} from './config/digests.js';
import {CoreSettings} from './core_settings.js';
import {
  acceptCall,
  createEntry,
  dropCall,
  Entry,
  EntryView,
  sendDelayedAttempts,
  takeCloseVerdict,
  takeFailure,
  takeResult,
} from './entry/entry.js';
import {
  createCrashSuspects,
  CrashSuspects,
  expireSuspects,
  getSuspectNews,
  isQuarantined,
  mergeSuspect,
} from './owner/crash_suspects.js';
import {
  acceptAttempt,
  answerKeyRequest,
  cancelAttempt,
  noteHandOverSettled,
  startDrain,
  takeFormerHomeVerdict,
  takeProbe,
  takeUpstreamAnswer,
  takeUpstreamFailure,
  tickOwner,
} from './owner/owner.js';
import {
  createOwner,
  isOwnerLeaving,
  Owner,
  OwnerView,
} from './owner/owner_state.js';
import {
  acknowledgeAnnouncement,
  Adoption,
  advanceAdoption,
  createAdoption,
  AdoptionView,
  noteHeard,
  noteVouched,
  recordAnnouncement,
} from './spread/adoption.js';
import {
  chooseGossipPeer,
  createDissemination,
  createGossip,
  describeSelf,
  Dissemination,
  GOSSIPS_PER_WARD,
  mergeGossip,
  notePullEnded,
  pullIfBehind,
} from './spread/dissemination.js';
import {
  createMembership,
  Membership,
  mergeMember,
  mergeVmChanges,
  mergeVmList,
  noteContactFailed,
  noteContactWorked,
  noteRemovals,
  refreshMarks,
  takeNews,
} from './spread/membership.js';
import {pushAround, pushNews, PushNews, pushToAllZones} from './spread/push.js';
import {
  callSource,
  createSourceWatch,
  findWard,
  noteSourceAnswered,
  noteSourceFailed,
  rankWatchers,
  getWatcherTurn,
  SourceWatch,
} from './spread/source_watch.js';
import {
  askToJoin,
  createStartup,
  findPeerAhead,
  getJoinedMembers,
  getRequiredSequence,
  findStartState,
  recordJoinFailure,
  recordJoinReply,
  Startup,
  StartupView,
} from './spread/startup.js';
import {VmChanges} from '../model/platform.js';
import {KeyVerdict, MemberInfo, PeerReply, PeerRequest} from '../model/peer.js';
import {getVmNews} from './spread/vm_list.js';
import {assertNever, Effect, Emit, Event} from './types.js';

/** Longest random delay before a starting proxy asks the source. */
const START_SPREAD_MS = 500;

/** Time after which a proxy checks again whether it is a watcher. */
const WATCH_ROLE_CHECK_MS = 250;

/** Time between the announcements of a region's watchers. */
const ANNOUNCE_STAGGER_MS = 100;

const MAX_ENTROPY = 2 ** 32;

export interface ProxyState {
  readonly settings: CoreSettings;
  readonly log: ConfigLog;
  readonly membership: Membership;
  readonly startup: Startup;
  readonly adoption: Adoption;
  readonly watch: SourceWatch;
  readonly spread: Dissemination;
  readonly entry: Entry;
  readonly owner: Owner;
  readonly suspects: CrashSuspects;
}

export function createProxyState(settings: CoreSettings): ProxyState {
  return {
    settings,
    log: createConfigLog(),
    membership: createMembership(settings.id, settings.startedAt),
    startup: createStartup(),
    adoption: createAdoption(),
    watch: createSourceWatch(settings),
    spread: createDissemination(),
    entry: createEntry(),
    owner: createOwner(),
    suspects: createCrashSuspects(),
  };
}

/**
 * Reduces one event.
 * @param state - The proxy's state; it must not be used again, only the
 *     returned one.
 * @param event - The event.
 * @returns The next state and the effects to carry out, in order.
 */
export function reduceProxy(
  state: ProxyState,
  event: Event,
): readonly [ProxyState, readonly Effect[]] {
  const effects: Effect[] = [];
  const emit: Emit = effect => {
    effects.push(effect);
  };
  reduceEvent(state, event, emit);
  return [state, effects];
}

function reduceEvent(state: ProxyState, event: Event, emit: Emit): void {
  const {owner, entry} = state;
  switch (event.kind) {
    case 'started':
      return reduceStarted(state, event.at, event.entropy, emit);
    case 'tick':
      return reduceTick(state, event, emit);
    case 'sourceAnswered':
      return reduceSourceAnswered(state, event, emit);
    case 'sourceFailed':
      state.startup.sourceFailed = true;
      noteSourceFailed(state.watch, state.settings, event.at, event.entropy);
      return emit({
        kind: 'count',
        counter: 'source_call',
        reason: 'failed',
      });
    case 'peerAsked':
      return reducePeerAsked(state, event, emit);
    case 'peerReplied':
      return reducePeerReplied(state, event, emit);
    case 'peerFailed':
      return reducePeerFailed(state, event, emit);
    case 'callArrived':
      return acceptCall(
        entry,
        viewEntry(state, event),
        event.callId,
        event.call,
        emit,
      );
    case 'attemptAnswered':
      return takeResult(
        entry,
        viewEntry(state, event),
        event.attemptId,
        event.result,
        event.load,
        emit,
      );
    case 'attemptFailed':
      return takeFailure(
        entry,
        viewEntry(state, event),
        event.attemptId,
        event.failure,
        emit,
      );
    case 'callerGone':
      return dropCall(entry, event.callId, emit);
    case 'attemptArrived':
      return acceptAttempt(
        owner,
        viewOwner(state, event.at),
        event.attempt,
        emit,
      );
    case 'attemptCancelled':
      return cancelAttempt(
        owner,
        viewOwner(state, event.at),
        event.attemptId,
        emit,
      );
    case 'upstreamAnswered':
      return takeUpstreamAnswer(
        owner,
        viewOwner(state, event.at),
        event.attemptId,
        event.answer,
        emit,
      );
    case 'upstreamFailed':
      return reduceUpstreamFailed(state, event, emit);
    case 'upstreamProbed':
      if (takeProbe(owner, event.draining, event.at)) {
        tellService(state, event.at, emit);
      }
      return;
    case 'drainRequested':
      return reduceDrain(state, event.at, emit);
    default:
      return assertNever(event);
  }
}

function viewOwner(state: ProxyState, at: number): OwnerView {
  const {settings, log, membership, suspects, startup} = state;
  return {settings, log, membership, suspects, ready: startup.ready, at};
}

function viewEntry(state: ProxyState, event: Event): EntryView {
  const {at, entropy} = event;
  return {
    settings: state.settings,
    table: state.log.table,
    membership: state.membership,
    ready: state.startup.ready,
    at,
    entropy,
    isQuarantined: fingerprint =>
      isQuarantined(state.suspects, fingerprint, at),
  };
}

function describe(state: ProxyState, at: number): MemberInfo {
  const {spread, log, settings, startup, owner} = state;
  const leaving = isOwnerLeaving(owner, viewOwner(state, at));
  const self = describeSelf(spread, log, settings, startup.ready, leaving);
  return owner.drainHintSince === undefined ? self : {...self, drainHint: true};
}

function reduceStarted(
  state: ProxyState,
  at: number,
  entropy: number,
  emit: Emit,
): void {
  const {startup, settings, watch} = state;
  const alone = settings.seeds.length === 0;
  watch.nextAt = alone ? at : at + (START_SPREAD_MS * entropy) / MAX_ENTROPY;
  askToJoin(startup, viewStartup(state, at), emit);
  watchSource(state, at, emit);
}

function reduceTick(state: ProxyState, event: Event, emit: Emit): void {
  const {at, entropy} = event;
  const {startup, log, settings, spread, membership} = state;
  refreshMarks(membership, at);
  if (!startup.ready) {
    askToJoin(startup, viewStartup(state, at), emit);
    pullAtStart(state, at, entropy, emit);
  }
  advanceConfig(state, at, emit);
  watchSource(state, at, emit);
  tellLeaving(state, at, emit);
  if (at >= spread.nextGossipAt) {
    const {gossipIntervalMs} = settings.dissemination;
    // Between half and one and a half intervals, so that proxies drift apart.
    const share = 0.5 + entropy / MAX_ENTROPY;
    spread.nextGossipAt = at + gossipIntervalMs * share;
    const self = describe(state, at);
    const turn = Math.floor(spread.gossips / GOSSIPS_PER_WARD);
    const ward = findWard(log.table, membership, settings, turn);
    const address = chooseGossipPeer(spread, log, settings, ward, entropy);
    if (address !== undefined) {
      const news = getSuspectNews(state.suspects);
      const request = createGossip(self, membership, news);
      emit({kind: 'askPeer', address, request});
    }
    expireSuspects(state.suspects, at);
  }
  sendDelayedAttempts(state.entry, viewEntry(state, event), emit);
  const {size} = state.entry.calls.byId;
  tickOwner(state.owner, viewOwner(state, at), size, emit);
}

/** Pulls from a peer that answered the join and is ahead. */
function pullAtStart(
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

/** Tells every zone at once when this upstream starts to leave, or is back. */
function tellLeaving(state: ProxyState, at: number, emit: Emit): void {
  const {owner, spread, log, settings} = state;
  const leaving = isOwnerLeaving(owner, viewOwner(state, at));
  if (leaving === spread.toldLeaving) {
    return;
  }
  spread.toldLeaving = leaving;
  const news: PushNews = {kind: 'members', news: [describe(state, at)]};
  pushToAllZones(log.table, settings, news, emit);
}

/** Decides whether this proxy watches the source, and calls it if so. */
function watchSource(state: ProxyState, at: number, emit: Emit): void {
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
    watch.nextAt = at + WATCH_ROLE_CHECK_MS;
    return;
  }
  callSource(watch, log, membership, settings, at, emit);
}

function reduceSourceAnswered(
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
  const hasNews = folded.length > 0 || vmChanges !== undefined;
  noteSourceAnswered(watch, settings, head, hasNews, at, entropy);
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
  const news = getSubmissions(log, afterSequence, log.active.sequence);
  if (news.length === 0) {
    return;
  }
  const push: PushNews = {kind: 'submissions', news};
  if (cause === 'push') {
    pushNews(log.table, settings, push, false, emit);
  } else if (cause === 'pull') {
    pushNews(log.table, settings, push, true, emit);
  } else {
    pushToAllZones(log.table, settings, push, emit, settings.region);
  }
}

function pushVmChanges(
  state: ProxyState,
  changes: VmChanges,
  isRoot: boolean,
  emit: Emit,
): void {
  // Changes from nothing are the whole list, which gossip brings on demand.
  if (changes.base > 0) {
    const news: PushNews = {kind: 'vmChanges', news: changes};
    pushNews(state.log.table, state.settings, news, isRoot, emit);
  }
}

/** What made the log advance. */
type AdvanceCause = 'push' | 'pull' | 'announced';

/** Becomes ready, or announces and adopts, as far as the log allows. */
function advanceConfig(
  state: ProxyState,
  at: number,
  emit: Emit,
  cause: AdvanceCause = 'announced',
): void {
  const {startup, log, adoption} = state;
  watchRemovals(state);
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
  if (start === undefined || isContradicted(state, emit)) {
    return;
  }
  // Replies may have come before the state that they are compared with.
  for (const {id, sequence, digest} of getJoinedMembers(startup)) {
    compareDigest(log, id, sequence, digest, emit);
  }
  if (isHalted(log)) {
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
function isContradicted(state: ProxyState, emit: Emit): boolean {
  const {log, membership} = state;
  for (const {info} of membership.members.values()) {
    compareDigest(log, info.id, info.sequence, info.digest, emit);
  }
  return isHalted(log);
}

function viewStartup(state: ProxyState, at: number): StartupView {
  const {log, adoption, settings, membership} = state;
  return {log, adoption, settings, membership, at};
}

function viewAdoption(state: ProxyState, at: number): AdoptionView {
  const {log, settings, membership} = state;
  const getAnnounceDelay = (sequence: number) =>
    getWatcherTurn(log.table, membership, settings, sequence, at) *
    ANNOUNCE_STAGGER_MS;
  return {log, settings, membership, at, getAnnounceDelay};
}

/** Upstreams that the newest configuration drops leave before it is in force. */
function watchRemovals(state: ProxyState): void {
  const {log, membership} = state;
  const {upstreams} = log.latest.config;
  if (log.active.config.upstreams !== upstreams) {
    noteRemovals(membership, log.table.upstreams.keys(), upstreams);
  }
}

function reducePeerAsked(
  state: ProxyState,
  event: Extract<Event, {kind: 'peerAsked'}>,
  emit: Emit,
): void {
  const {request, requestId, at} = event;
  emit({kind: 'count', counter: 'peer_message', reason: request.kind});
  const reply = createReply(state, request, at, emit);
  emit({kind: 'replyPeer', requestId, reply});
}

function createReply(
  state: ProxyState,
  request: PeerRequest,
  at: number,
  emit: Emit,
): PeerReply {
  const {log, membership, settings, startup, adoption} = state;
  switch (request.kind) {
    case 'gossip':
      takeGossip(state, request, at, emit);
      if (request.vmRevision > membership.vmList.revision) {
        state.spread.gossipWith = request.from.peerAddress;
      }
      return {
        kind: 'gossip',
        from: describe(state, at),
        members: takeNews(membership),
        suspects: getSuspectNews(state.suspects),
        ...getVmNews(membership.vmList, request.vmRevision),
      };
    case 'push':
      takePush(state, request, at, emit);
      return {kind: 'ok'};
    case 'pull':
      return {
        kind: 'pull',
        catchUp: getCatchUp(log, request.afterSequence, request.digest),
        from: settings.id,
        digest: getDigestAt(log, request.afterSequence),
        region: settings.region,
        sequence: startup.ready ? log.active.sequence : 0,
      };
    case 'announce':
      return recordAnnouncement(adoption, request.sequence, settings.startedAt);
    case 'join':
      return {
        kind: 'join',
        ready: startup.ready,
        region: settings.region,
        sequence: log.active.sequence,
        heard: Math.max(adoption.heard, log.active.sequence),
        members: [describe(state, at)],
      };
    case 'closeKey':
    case 'handOver':
      return answerKeyRequest(state.owner, viewOwner(state, at), request, emit);
    default:
      return assertNever(request);
  }
}

function takePush(
  state: ProxyState,
  push: Extract<PeerRequest, {kind: 'push'}>,
  at: number,
  emit: Emit,
): void {
  const {log, membership, settings, adoption} = state;
  const {submissions, vmChanges, members = []} = push;
  acceptSubmissions(log, submissions, emit);
  // Proxies push within their region, and only what they have in force.
  noteVouched(adoption, submissions.at(-1)?.sequence ?? 0);
  if (vmChanges !== undefined && mergeVmChanges(membership, vmChanges, at)) {
    pushVmChanges(state, vmChanges, false, emit);
  }
  const changed = members.filter(info =>
    mergeMember(membership, info, at, emit),
  );
  if (changed.length > 0) {
    const news: PushNews = {kind: 'members', news: changed};
    pushNews(log.table, settings, news, false, emit);
  }
  advanceConfig(state, at, emit, 'push');
}

function takeGossip(
  state: ProxyState,
  message: Extract<PeerReply, {kind: 'gossip'}>,
  at: number,
  emit: Emit,
): void {
  const {spread, log, membership, suspects, adoption} = state;
  const {from, members, vmList, vmChanges = []} = message;
  if (from.ready) {
    noteHeard(adoption, from.sequence);
  }
  mergeGossip(log, membership, from, members, at, emit);
  if (from.ready) {
    pullIfBehind(spread, log, from.peerAddress, from.sequence, at, emit);
  }
  for (const suspect of message.suspects) {
    mergeSuspect(suspects, suspect);
  }
  const merged = vmChanges.filter(changes =>
    mergeVmChanges(membership, changes, at),
  );
  const whole =
    vmList === undefined ? undefined : mergeVmList(membership, vmList, at);
  for (const changes of whole === undefined ? merged : [...merged, whole]) {
    pushVmChanges(state, changes, true, emit);
  }
}

function reducePeerReplied(
  state: ProxyState,
  event: Extract<Event, {kind: 'peerReplied'}>,
  emit: Emit,
): void {
  const {address, request, reply, at} = event;
  const {log, membership, startup, adoption, spread} = state;
  noteContactWorked(membership, address);
  switch (reply.kind) {
    case 'gossip':
      return takeGossip(state, reply, at, emit);
    case 'ok':
      if (request.kind === 'handOver') {
        noteHandOverSettled(state.owner, address);
      }
      return;
    case 'announce':
      if (request.kind === 'announce') {
        const {incarnation} = reply;
        acknowledgeAnnouncement(adoption, address, request, incarnation);
        advanceConfig(state, at, emit);
      }
      return;
    case 'pull':
      notePullEnded(spread, address);
      takeCatchUp(state, request, reply, emit);
      return advanceConfig(state, at, emit, 'pull');
    case 'join':
      recordJoinReply(startup, address, reply);
      for (const info of reply.members) {
        mergeMember(membership, info, at, emit);
        compareDigest(log, info.id, info.sequence, info.digest, emit);
      }
      if (reply.ready) {
        pullIfBehind(spread, log, address, reply.sequence, at, emit);
      }
      return advanceConfig(state, at, emit);
    case 'closeKey':
      return takeKeyVerdict(state, event, reply.verdict, emit);
    case 'refused':
      return giveUpAsking(state, event, emit);
    default:
      return assertNever(reply);
  }
}

/** A peer whose digest differs is compared first, and believed last. */
function takeCatchUp(
  state: ProxyState,
  request: PeerRequest,
  reply: Extract<PeerReply, {kind: 'pull'}>,
  emit: Emit,
): void {
  const {log, adoption, settings} = state;
  const {catchUp, from, digest, region, sequence} = reply;
  if (request.kind === 'pull' && from !== undefined && digest !== undefined) {
    compareDigest(log, from, request.afterSequence, digest, emit);
  }
  if (catchUp.kind === 'state') {
    acceptFoldState(log, catchUp.state, emit);
  } else {
    acceptSubmissions(log, catchUp.submissions, emit);
  }
  if (region === settings.region) {
    noteVouched(adoption, sequence);
  }
}

/** A key verdict concerns an entry that gave up or a home that took over. */
function takeKeyVerdict(
  state: ProxyState,
  event: Extract<Event, {kind: 'peerReplied' | 'peerFailed'}>,
  verdict: KeyVerdict | undefined,
  emit: Emit,
): void {
  const {request, address, at} = event;
  if (request.kind !== 'closeKey') {
    return;
  }
  const {attemptId, cause} = request;
  if (cause === 'give-up') {
    const view = viewEntry(state, event);
    takeCloseVerdict(state.entry, view, attemptId, verdict, emit);
    return;
  }
  const view = viewOwner(state, at);
  takeFormerHomeVerdict(state.owner, view, address, attemptId, verdict, emit);
}

function reducePeerFailed(
  state: ProxyState,
  event: Extract<Event, {kind: 'peerFailed'}>,
  emit: Emit,
): void {
  noteContactFailed(state.membership, event.address, event.at);
  giveUpAsking(state, event, emit);
}

/** What follows where a peer was not reached, or refused the message. */
function giveUpAsking(
  state: ProxyState,
  event: Extract<Event, {kind: 'peerFailed' | 'peerReplied'}>,
  emit: Emit,
): void {
  const {address, request, at} = event;
  const {log, settings, startup, spread} = state;
  switch (request.kind) {
    case 'gossip':
    case 'announce':
      return;
    case 'push':
      return pushAround(log.table, settings, address, request, emit);
    case 'pull':
      return notePullEnded(spread, address);
    case 'join':
      recordJoinFailure(startup, address);
      return advanceConfig(state, at, emit);
    case 'closeKey':
      return takeKeyVerdict(state, event, undefined, emit);
    case 'handOver':
      return noteHandOverSettled(state.owner, address);
    default:
      return assertNever(request);
  }
}

/** A new crash is told at once, before the request is sent elsewhere. */
function reduceUpstreamFailed(
  state: ProxyState,
  event: Extract<Event, {kind: 'upstreamFailed'}>,
  emit: Emit,
): void {
  const {owner} = state;
  const {at, attemptId, failure} = event;
  takeUpstreamFailure(owner, viewOwner(state, at), attemptId, failure, emit);
  if (failure === 'reset') {
    tellService(state, at, emit);
  }
}

/** Sends news to the other proxies of the own service. */
function tellService(state: ProxyState, at: number, emit: Emit): void {
  const {log, settings, membership, suspects} = state;
  const self = describe(state, at);
  const request = createGossip(self, membership, getSuspectNews(suspects));
  const own = log.table.upstreams.get(settings.id);
  const service =
    own === undefined ? undefined : log.table.services.get(own.service);
  for (const {id, peerAddress} of service?.upstreams ?? []) {
    if (id !== settings.id) {
      emit({kind: 'askPeer', address: peerAddress, request});
    }
  }
}

/** Starts a planned stop and tells the fleet at once. */
function reduceDrain(state: ProxyState, at: number, emit: Emit): void {
  startDrain(state.owner);
  tellLeaving(state, at, emit);
}
