/** Answers peers' requests and handles their replies. */
import {KeyVerdict, PeerReply, PeerRequest} from '../model/peer.js';
import {
  acceptFoldState,
  acceptSubmissions,
  getCatchUp,
} from './config/config_log.js';
import {compareDigest, getDigestPrefix} from './config/digests.js';
import {advanceConfig, pushVmChanges} from './config_updates.js';
import {handleCloseVerdict} from './entry/key_close_requests.js';
import {getNewestSuspects, mergeSuspect} from './owner/crash_suspects.js';
import {answerKeyRequest, handleFormerHolderVerdict} from './owner/owner.js';
import {recordHandOverEnd} from './owner/graceful_shutdown.js';
import {
  ProxyState,
  createOwnMemberInfo,
  viewEntry,
  viewOwner,
} from './proxy_state.js';
import {
  handleAnnouncement,
  recordAcknowledgement,
  recordConfirmedSequence,
  recordHeardSequence,
} from './spread/adoption.js';
import {
  applyGossip,
  pullIfBehind,
  recordPullEnded,
} from './spread/dissemination.js';
import {
  mergeMember,
  mergeVmChanges,
  mergeVmList,
  recordContactFailure,
  recordContactSuccess,
  takeMemberUpdates,
} from './spread/membership.js';
import {PushUpdate, pushToChildren, rerouteFailedPush} from './spread/push.js';
import {recordJoinFailure, recordJoinReply} from './spread/startup.js';
import {getVmUpdate} from './spread/vm_list.js';
import {Emit, Event, assertNever} from './types.js';

export function reducePeerAsked(
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
      handleGossip(state, request, at, emit);
      if (request.vmRevision > membership.vmList.revision) {
        state.spread.nextGossipPeer = request.from.peerAddress;
      }
      return {
        kind: 'gossip',
        from: createOwnMemberInfo(state, at),
        members: takeMemberUpdates(membership),
        suspects: getNewestSuspects(state.suspects),
        ...getVmUpdate(membership.vmList, request.vmRevision),
      };
    case 'push':
      handlePush(state, request, at, emit);
      return {kind: 'ok'};
    case 'pull':
      return {
        kind: 'pull',
        catchUp: getCatchUp(log, request.afterSequence, request.digest),
        from: settings.id,
        digest: getDigestPrefix(log, request.afterSequence),
        region: settings.region,
        sequence: startup.ready ? log.active.sequence : 0,
      };
    case 'announce':
      return handleAnnouncement(adoption, request.sequence, settings.startedAt);
    case 'join':
      return {
        kind: 'join',
        ready: startup.ready,
        incarnation: settings.startedAt,
        region: settings.region,
        sequence: log.active.sequence,
        heard: Math.max(adoption.heardSequence, log.active.sequence),
        members: [createOwnMemberInfo(state, at)],
      };
    case 'closeKey':
    case 'handOver':
      return answerKeyRequest(state.owner, viewOwner(state, at), request, emit);
    default:
      return assertNever(request);
  }
}

function handlePush(
  state: ProxyState,
  push: Extract<PeerRequest, {kind: 'push'}>,
  at: number,
  emit: Emit,
): void {
  const {log, membership, settings, adoption} = state;
  const {submissions, vmChanges, members = []} = push;
  acceptSubmissions(log, submissions, emit);
  // Proxies push only within their region, and only what they have adopted.
  recordConfirmedSequence(adoption, submissions.at(-1)?.sequence ?? 0);
  if (vmChanges !== undefined && mergeVmChanges(membership, vmChanges, at)) {
    pushVmChanges(state, vmChanges, false, emit);
  }
  const changed = members.filter(info =>
    mergeMember(membership, info, at, emit),
  );
  if (changed.length > 0) {
    const update: PushUpdate = {kind: 'members', payload: changed};
    pushToChildren(log.table, settings, update, false, emit);
  }
  advanceConfig(state, at, emit, 'push');
}

function handleGossip(
  state: ProxyState,
  message: Extract<PeerReply, {kind: 'gossip'}>,
  at: number,
  emit: Emit,
): void {
  const {spread, log, membership, suspects, adoption} = state;
  const {from, members, vmList, vmChanges = []} = message;
  if (from.ready) {
    recordHeardSequence(adoption, from.sequence);
  }
  applyGossip(log, membership, from, members, at, emit);
  if (from.ready) {
    pullIfBehind(spread, log, from.peerAddress, from.sequence, at, emit);
  }
  for (const suspect of message.suspects) {
    mergeSuspect(suspects, suspect);
  }
  const merged = vmChanges.filter(changes =>
    mergeVmChanges(membership, changes, at),
  );
  const listChanges =
    vmList === undefined ? undefined : mergeVmList(membership, vmList, at);
  for (const changes of listChanges === undefined
    ? merged
    : [...merged, listChanges]) {
    pushVmChanges(state, changes, true, emit);
  }
}

export function reducePeerReplied(
  state: ProxyState,
  event: Extract<Event, {kind: 'peerReplied'}>,
  emit: Emit,
): void {
  const {address, request, reply, at} = event;
  const {log, membership, startup, adoption, spread} = state;
  recordContactSuccess(membership, address);
  switch (reply.kind) {
    case 'gossip':
      return handleGossip(state, reply, at, emit);
    case 'ok':
      if (request.kind === 'handOver') {
        recordHandOverEnd(state.owner, address);
      }
      return;
    case 'announce':
      if (request.kind === 'announce') {
        const {incarnation} = reply;
        recordAcknowledgement(adoption, address, request, incarnation);
        advanceConfig(state, at, emit);
      }
      return;
    case 'pull':
      recordPullEnded(spread, address);
      applyCatchUp(state, request, reply, emit);
      return advanceConfig(state, at, emit, 'pull');
    case 'join':
      if (request.kind === 'join') {
        recordJoinReply(startup, address, reply, request.round);
      }
      for (const info of reply.members) {
        mergeMember(membership, info, at, emit);
        compareDigest(log, info.id, info.sequence, info.digest, emit);
      }
      if (reply.ready) {
        pullIfBehind(spread, log, address, reply.sequence, at, emit);
      }
      return advanceConfig(state, at, emit);
    case 'closeKey':
      return handleKeyVerdict(state, event, reply.verdict, emit);
    case 'refused':
      return handleFailedRequest(state, event, emit);
    default:
      return assertNever(reply);
  }
}

/**
 * Applies the reply to a pull. The digest is compared first, so that a peer
 * with a different log is detected before its submissions are accepted.
 */
function applyCatchUp(
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
    recordConfirmedSequence(adoption, sequence);
  }
}

/**
 * Passes a key verdict on to the requester: the entry that gave up the call, or
 * the owner as the new key holder. Undefined stands for a missing reply.
 */
function handleKeyVerdict(
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
    handleCloseVerdict(state.entry, view, attemptId, verdict, emit);
    return;
  }
  const view = viewOwner(state, at);
  handleFormerHolderVerdict(
    state.owner,
    view,
    address,
    attemptId,
    verdict,
    emit,
  );
}

export function reducePeerFailed(
  state: ProxyState,
  event: Extract<Event, {kind: 'peerFailed'}>,
  emit: Emit,
): void {
  recordContactFailure(state.membership, event.address, event.at);
  handleFailedRequest(state, event, emit);
}

/** Handles a request that did not reach the peer or that the peer refused. */
function handleFailedRequest(
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
      return rerouteFailedPush(log.table, settings, address, request, emit);
    case 'pull':
      return recordPullEnded(spread, address);
    case 'join':
      recordJoinFailure(startup, address);
      return advanceConfig(state, at, emit);
    case 'closeKey':
      return handleKeyVerdict(state, event, undefined, emit);
    case 'handOver':
      return recordHandOverEnd(state.owner, address);
    default:
      return assertNever(request);
  }
}
