/**
 * The root reducer of a proxy whose upstreams register themselves. It passes
 * each event to the modules that handle it and collects their effects. The
 * state is mutated in place and returned.
 */
import {Hello} from '../../model/mesh.js';
import {
  getOrCreateLoad,
  recordConnectionRefused,
  recordSuccess,
} from '../entry/load_view.js';
import {expireSuspects, mergeSuspect} from '../owner/crash_suspects.js';
import {assertNever} from '../types.js';
import {acceptMeshCall, cancelMeshCall} from './call_lifecycle.js';
import {
  handleAttemptLoss,
  handleAttemptOutcome,
  tickCalls,
} from './call_results.js';
import {confirmCallers} from './caller_presence.js';
import {markProxyStarted} from './cold_detection.js';
import {logUnconfirmedConfig} from './config_freshness.js';
import {MeshState} from './mesh_state.js';
import {MeshEffect, MeshEmit, MeshEvent} from './mesh_types.js';
import {considerOffer} from './body_offers.js';
import {
  admitMeshAttempt,
  cancelMeshAttempt,
  dispatchWaiting,
  tickMeshOwner,
} from './owner_attempts.js';
import {
  handleUpstreamAnswer,
  handleDispatchFailure,
} from './dispatch_results.js';
import {handleConnectProbe} from './crash_detection.js';
import {sendSuspects} from './crash_records.js';
import {recordLinkBytes} from './link_load.js';
import {takeLinksToPrepare} from './link_preparation.js';
import {getNeighbours} from './broadcast_tree.js';
import {getInstanceIds} from './proxy_directory.js';
import {
  readSourceIfDue,
  handleSourceAnswer,
  handleSourceFailure,
} from './source_reading.js';
import {
  answerPull,
  handlePeerPoll,
  removeExpiredInstances,
  handlePeerUpdate,
  handlePeerState,
} from './peer_updates.js';
import {
  isListCurrent,
  pullHeardState,
  pullIfBehind,
  pullIfSilent,
} from './update_repair.js';
import {announceVersionIfDue} from './version_announcement.js';
import {
  beginStop,
  endStopIfDue,
  announceLeavingIfDue,
} from './graceful_shutdown.js';

/** Interval of the attempts to open missing links to neighbours. */
const LINK_OPEN_INTERVAL_MS = 500;

/**
 * Reduces one event.
 * @param state - The proxy's state; only the returned one may be used again.
 * @param event - The event.
 * @returns The next state and the effects to carry out, in order.
 */
export function reduceMesh(
  state: MeshState,
  event: MeshEvent,
): readonly [MeshState, readonly MeshEffect[]] {
  const effects: MeshEffect[] = [];
  reduceEvent(state, event, effect => {
    effects.push(effect);
  });
  return [state, effects];
}

function reduceEvent(state: MeshState, event: MeshEvent, emit: MeshEmit): void {
  const {at} = event;
  switch (event.kind) {
    case 'started':
      markProxyStarted(state, event.bootMs ?? 0, at);
      return readSourceIfDue(state, at, emit);
    case 'tick':
      return reduceTick(state, event, emit);
    case 'sourceAnswered':
      return reduceSourceAnswered(state, event, emit);
    case 'sourceFailed':
      return handleSourceFailure(state, event, emit);
    case 'linkClosed':
      return reduceLinkClosed(state, event.address, emit);
    case 'messageReceived':
      return reduceMessage(state, event, emit);
    case 'callArrived':
      return acceptMeshCall(state, event, event, emit);
    case 'callerGone':
      return cancelMeshCall(state, event.callId, at, emit);
    case 'attemptEnded':
      return handleAttemptOutcome(
        state,
        event,
        event.attemptId,
        event.outcome,
        emit,
      );
    case 'attemptLost':
      return handleAttemptLoss(state, event, event.attemptId, event.sent, emit);
    case 'attemptArrived':
      return admitMeshAttempt(state, at, event, emit);
    case 'attemptOffered':
      return considerOffer(state, at, event, emit);
    case 'callersConfirmed':
      confirmCallers(state.work, event.unconfirmedMs, at);
      return dispatchWaiting(state, at, emit);
    case 'attemptCancelled':
      return cancelMeshAttempt(state, at, event.attemptId, emit);
    case 'upstreamAnswered':
      return handleUpstreamAnswer(
        state,
        at,
        event.attemptId,
        event.answer,
        event.facts,
        emit,
      );
    case 'upstreamFailed':
      return handleDispatchFailure(
        state,
        at,
        event.attemptId,
        event.failure,
        event.report,
        emit,
      );
    case 'connectProbed':
      return handleConnectProbe(state, at, event.accepted, emit);
    case 'stopRequested':
      return beginStop(state, at, emit);
    default:
      return assertNever(event);
  }
}

function reduceTick(
  state: MeshState,
  event: Extract<MeshEvent, {kind: 'tick'}>,
  emit: MeshEmit,
): void {
  const {at, entropy, linkBytes, unsentBytes = 0} = event;
  recordLinkBytes(state, linkBytes, at);
  readSourceIfDue(state, at, emit);
  pullIfBehind(state, at, emit);
  pullIfSilent(state, at, entropy, emit);
  announceVersionIfDue(state, at, entropy, emit);
  removeExpiredInstances(state, at, emit);
  logUnconfirmedConfig(state, at, emit);
  openLinks(state, at, emit);
  expireSuspects(state.suspects, at);
  tickMeshOwner(state, at, emit);
  tickCalls(state, event, emit);
  announceLeavingIfDue(state, at, emit);
  endStopIfDue(state, event, unsentBytes, emit);
}

function reduceSourceAnswered(
  state: MeshState,
  event: Extract<MeshEvent, {kind: 'sourceAnswered'}>,
  emit: MeshEmit,
): void {
  const knewPeers = state.fleet.instances.size > 0;
  handleSourceAnswer(state, event, emit);
  if (!knewPeers && state.fleet.instances.size > 0) {
    // Peers send updates to proxies with a registered upstream or an open link.
    // The links matter while no upstream is registered beside this proxy.
    getNeighbours(state).forEach(to => emit({kind: 'openLink', to}));
  }
}

/** Opens missing links to neighbours, and some in advance, at intervals. */
function openLinks(state: MeshState, at: number, emit: MeshEmit): void {
  if (at < state.nextLinkOpenAt) {
    return;
  }
  state.nextLinkOpenAt = at + LINK_OPEN_INTERVAL_MS;
  const missing = getNeighbours(state).filter(to => !state.peers.has(to));
  for (const to of new Set([...missing, ...takeLinksToPrepare(state)])) {
    emit({kind: 'openLink', to});
  }
}

function reduceLinkClosed(
  state: MeshState,
  address: string,
  emit: MeshEmit,
): void {
  const wasOpen = state.peers.delete(address);
  emit({kind: 'count', counter: 'link_changed', reason: 'closed'});
  if (wasOpen) {
    emit({
      kind: 'log',
      level: 'info',
      part: 'daemon',
      message: 'Link to peer closed.',
      fields: {address},
    });
  }
}

function reduceMessage(
  state: MeshState,
  event: Extract<MeshEvent, {kind: 'messageReceived'}>,
  emit: MeshEmit,
): void {
  const {at, from, message} = event;
  emit({kind: 'count', counter: 'peer_message', reason: message.kind});
  switch (message.kind) {
    case 'hello':
      return handleHello(state, from, message, at, emit);
    case 'news':
      return handlePeerUpdate(state, event, message, emit);
    case 'pull':
      return answerPull(state, from, message, at, emit);
    case 'state':
      return handlePeerState(state, event, message, emit);
    case 'polled':
      return handlePeerPoll(state, from, message, at, emit);
    case 'suspects':
      return message.suspects.forEach(info =>
        mergeSuspect(state.suspects, info),
      );
    case 'leaving':
      return handleLeaving(state, from, message.final === true, emit);
    case 'upstreamState':
      return handleUpstreamState(state, at, message.instanceId, message.up);
    default:
      return assertNever(message);
  }
}

function handleHello(
  state: MeshState,
  from: string,
  hello: Hello,
  at: number,
  emit: MeshEmit,
): void {
  const {zone, incarnation, leaving, linkMbps, version, revision} = hello;
  state.peers.set(from, {zone, incarnation, leaving, linkMbps});
  clearFailures(state, from);
  emit({kind: 'count', counter: 'link_changed', reason: 'opened'});
  emit({
    kind: 'log',
    level: 'info',
    part: 'daemon',
    message: 'Link to peer opened.',
    fields: {address: from, zone, incarnation, version: hello.version},
  });
  const heardRevision = isListCurrent(state, at) ? 0 : revision;
  const heard = {from, version, revision: heardRevision};
  pullHeardState(state, heard, at, emit);
  sendSuspects(state, from, emit);
}

/**
 * Clears the failures that were recorded for the upstream of a peer: a peer that
 * opens a link is running.
 */
function clearFailures(state: MeshState, address: string): void {
  for (const id of getInstanceIds(state, address)) {
    const load = getOrCreateLoad(state.loads, id);
    recordSuccess(load);
    load.leavingUntil = 0;
  }
}

/**
 * Records what an owner reports of its upstream, so that this entry doesn't need
 * a failed request to find out.
 */
function handleUpstreamState(
  state: MeshState,
  at: number,
  instanceId: string,
  up: boolean,
): void {
  const load = getOrCreateLoad(state.loads, instanceId);
  if (up) {
    recordSuccess(load);
  } else {
    recordConnectionRefused(load, at);
  }
}

/** Excludes the upstream of a stopping peer from new work. */
function handleLeaving(
  state: MeshState,
  from: string,
  isFinal: boolean,
  emit: MeshEmit,
): void {
  const peer = state.peers.get(from);
  if (peer !== undefined) {
    peer.leaving = true;
    peer.stopped = isFinal;
  }
  if (isFinal) {
    return;
  }
  emit({
    kind: 'log',
    level: 'info',
    part: 'fleet',
    message: 'Peer is stopping; sending its upstream no new work.',
    fields: {address: from},
  });
}
