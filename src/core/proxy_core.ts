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
  getCatchUp,
} from './config/config_log.js';
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
  takeUrgentSuspects,
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
  recordFloor,
} from './spread/adoption.js';
import {
  chooseGossipPeer,
  createDissemination,
  createGossip,
  describeSelf,
  Dissemination,
  mergeGossip,
  pushAround,
  pushNews,
} from './spread/dissemination.js';
import {
  createMembership,
  Membership,
  mergeMember,
  mergeVmList,
  noteContactFailed,
  noteContactWorked,
} from './spread/membership.js';
import {
  callSource,
  createSourceWatch,
  noteSourceAnswered,
  noteSourceFailed,
  rankWatchers,
  SourceWatch,
} from './spread/source_watch.js';
import {
  askToJoin,
  createStartup,
  hasCaughtUp,
  recordJoinFailure,
  recordJoinReply,
  Startup,
} from './spread/startup.js';
import {
  KeyVerdict,
  MemberInfo,
  PeerReply,
  PeerRequest,
  SuspectInfo,
} from '../model/peer.js';
import {assertNever, Effect, Emit, Event} from './types.js';

/** Longest random delay before a starting proxy asks the source. */
const START_SPREAD_MS = 500;

/** Time after which a proxy checks again whether it is a watcher. */
const WATCH_ROLE_CHECK_MS = 250;

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
    membership: createMembership(),
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
      takeUpstreamFailure(
        owner,
        viewOwner(state, event.at),
        event.attemptId,
        event.failure,
        emit,
      );
      return pushSuspects(state, event.at, emit);
    case 'upstreamProbed':
      return takeProbe(
        owner,
        viewOwner(state, event.at),
        event.healthy,
        event.draining,
      );
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
  return describeSelf(spread, log, settings, startup.ready, leaving);
}

function reduceStarted(
  state: ProxyState,
  at: number,
  entropy: number,
  emit: Emit,
): void {
  const {startup, log, settings, watch} = state;
  const alone = settings.seeds.length === 0;
  watch.nextAt = alone ? at : at + (START_SPREAD_MS * entropy) / MAX_ENTROPY;
  askToJoin(startup, log, settings, at, emit);
  watchSource(state, at, emit);
}

function reduceTick(state: ProxyState, event: Event, emit: Emit): void {
  const {at, entropy} = event;
  const {startup, log, settings, spread, membership} = state;
  if (!startup.ready) {
    askToJoin(startup, log, settings, at, emit);
  }
  advanceConfig(state, at, emit);
  watchSource(state, at, emit);
  if (at >= spread.nextGossipAt) {
    const {gossipIntervalMs} = settings.dissemination;
    // Between half and one and a half intervals, so that proxies drift apart.
    const share = 0.5 + entropy / MAX_ENTROPY;
    spread.nextGossipAt = at + gossipIntervalMs * share;
    const self = describe(state, at);
    const address = chooseGossipPeer(spread, log, settings, entropy);
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

/** Decides whether this proxy watches the source, and calls it if so. */
function watchSource(state: ProxyState, at: number, emit: Emit): void {
  const {log, membership, settings, startup, watch} = state;
  if (watch.waiting || at < watch.nextAt) {
    return;
  }
  const peerReady = [...startup.replies.values()].some(reply => reply.ready);
  const ranked = rankWatchers(log, membership, settings.zone, at);
  const isWatcher = ranked
    .slice(0, settings.dissemination.watchersPerZone)
    .includes(settings.id);
  const isListed = log.table.upstreams.has(settings.id);
  const mustWatch = startup.ready ? isWatcher || !isListed : !peerReady;
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
  noteSourceAnswered(watch, event.head, event.at);
  startup.sourceAnswered = true;
  if (event.head < log.latest.sequence) {
    emit({kind: 'count', counter: 'update_ignored', reason: 'stale_source'});
  }
  const folded = acceptSubmissions(log, event.submissions, emit);
  const vmList =
    event.vmList !== undefined && mergeVmList(membership, event.vmList)
      ? event.vmList
      : undefined;
  if (folded.length > 0 || vmList !== undefined) {
    pushNews(log, settings, folded, vmList, true, emit);
  }
  advanceConfig(state, event.at, emit);
  watchSource(state, event.at, emit);
}

/** Becomes ready, or announces and adopts, as far as the log allows. */
function advanceConfig(state: ProxyState, at: number, emit: Emit): void {
  const {startup, log, settings, adoption} = state;
  if (startup.ready) {
    advanceAdoption(adoption, log, settings, at, emit);
    return;
  }
  if (!hasCaughtUp(startup, log, settings)) {
    return;
  }
  advanceAdoption(adoption, log, settings, at, emit);
  if (log.active.sequence === log.latest.sequence) {
    startup.ready = true;
    emit({
      kind: 'log',
      level: 'info',
      part: 'config',
      message: `Ready at version ${log.active.version}.`,
    });
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
      recordFloor(adoption, request.from.id, request.from.sequence);
      return {
        kind: 'gossip',
        from: describe(state, at),
        members: [],
        suspects: getSuspectNews(state.suspects),
        vmList:
          membership.vmList.revision > request.vmRevision
            ? membership.vmList
            : undefined,
      };
    case 'push': {
      const folded = acceptSubmissions(log, request.submissions, emit);
      const vmList =
        request.vmList !== undefined && mergeVmList(membership, request.vmList)
          ? request.vmList
          : undefined;
      if (folded.length > 0 || vmList !== undefined) {
        pushNews(log, settings, folded, vmList, false, emit);
      }
      advanceConfig(state, at, emit);
      return {kind: 'ok'};
    }
    case 'pull':
      return {
        kind: 'pull',
        catchUp: getCatchUp(log, request.afterSequence),
      };
    case 'announce':
      recordFloor(adoption, request.id, request.sequence);
      return {kind: 'ok'};
    case 'join':
      return {
        kind: 'join',
        ready: startup.ready,
        sequence: log.latest.sequence,
        floor: adoption.floors.get(request.id) ?? 0,
        state: log.latest,
        members: [describe(state, at)],
      };
    case 'closeKey':
    case 'handOver':
      return answerKeyRequest(state.owner, viewOwner(state, at), request, emit);
    default:
      return assertNever(request);
  }
}

function takeGossip(
  state: ProxyState,
  message: Extract<PeerReply, {kind: 'gossip'}>,
  at: number,
  emit: Emit,
): void {
  const {spread, log, membership, settings, suspects} = state;
  const {from, members} = message;
  const others = members.filter(({id}) => id !== settings.id);
  mergeGossip(spread, log, membership, from, others, at, emit);
  for (const suspect of message.suspects) {
    mergeSuspect(suspects, suspect);
  }
  if (message.vmList !== undefined && mergeVmList(membership, message.vmList)) {
    pushNews(log, settings, [], message.vmList, true, emit);
  }
}

function reducePeerReplied(
  state: ProxyState,
  event: Extract<Event, {kind: 'peerReplied'}>,
  emit: Emit,
): void {
  const {address, request, reply, at} = event;
  const {log, membership, settings, startup, adoption, spread} = state;
  noteContactWorked(membership, address);
  switch (reply.kind) {
    case 'gossip':
      return takeGossip(state, reply, at, emit);
    case 'ok':
      if (request.kind === 'announce') {
        acknowledgeAnnouncement(
          adoption,
          log,
          settings,
          address,
          request.sequence,
          at,
          emit,
        );
        advanceConfig(state, at, emit);
      } else if (request.kind === 'handOver') {
        noteHandOverSettled(state.owner, address);
      }
      return;
    case 'pull': {
      spread.pullingFrom = undefined;
      const {catchUp} = reply;
      if (catchUp.kind === 'state') {
        acceptFoldState(log, catchUp.state, emit);
      } else {
        const folded = acceptSubmissions(log, catchUp.submissions, emit);
        if (folded.length > 0) {
          pushNews(log, settings, folded, undefined, true, emit);
        }
      }
      return advanceConfig(state, at, emit);
    }
    case 'join':
      recordJoinReply(startup, address, reply);
      for (const info of reply.members) {
        mergeMember(membership, info, at, emit);
      }
      if (reply.state.sequence > log.latest.sequence) {
        acceptFoldState(log, reply.state, emit);
      }
      return advanceConfig(state, at, emit);
    case 'closeKey':
      return takeKeyVerdict(state, event, reply.verdict, emit);
    case 'refused':
      return reducePeerFailed(state, event, emit);
    default:
      return assertNever(reply);
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
  event: Extract<Event, {kind: 'peerFailed' | 'peerReplied'}>,
  emit: Emit,
): void {
  const {address, request, at} = event;
  const {log, membership, settings, startup, spread} = state;
  noteContactFailed(membership, address, at);
  switch (request.kind) {
    case 'gossip':
    case 'announce':
      return;
    case 'push':
      return pushAround(log, settings, address, request, emit);
    case 'pull':
      spread.pullingFrom = undefined;
      return;
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

/** Starts a planned stop and tells the other owners of the service at once. */
function reduceDrain(state: ProxyState, at: number, emit: Emit): void {
  startDrain(state.owner);
  tellService(state, [], at, emit);
}

/** Tells of a crash at once: the request that caused it may come again. */
function pushSuspects(state: ProxyState, at: number, emit: Emit): void {
  const urgent = takeUrgentSuspects(state.suspects);
  if (urgent.length > 0) {
    tellService(state, urgent, at, emit);
  }
}

/** Sends news that can't wait for gossip to the other owners of the service. */
function tellService(
  state: ProxyState,
  suspects: readonly SuspectInfo[],
  at: number,
  emit: Emit,
): void {
  const {log, settings, membership} = state;
  const self = describe(state, at);
  const request = createGossip(self, membership, suspects);
  const own = log.table.upstreams.get(settings.id);
  const service =
    own === undefined ? undefined : log.table.services.get(own.service);
  for (const {id, peerAddress} of service?.upstreams ?? []) {
    if (id !== settings.id) {
      emit({kind: 'askPeer', address: peerAddress, request});
    }
  }
}
