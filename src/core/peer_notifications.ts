/** Notifies peers of crashes and of an upstream that leaves. */
import {getNewestSuspects} from './owner/crash_suspects.js';
import {startDrain} from './owner/graceful_shutdown.js';
import {handleUpstreamFailure} from './owner/upstream_results.js';
import {isOwnerLeaving} from './owner/owner_state.js';
import {ProxyState, createOwnMemberInfo, viewOwner} from './proxy_state.js';
import {createGossipRequest} from './spread/dissemination.js';
import {PushUpdate, pushToAllZones} from './spread/push.js';
import {Emit, Event} from './types.js';

/** Notifies every zone when this upstream starts or stops leaving. */
export function broadcastLeaving(
  state: ProxyState,
  at: number,
  emit: Emit,
): void {
  const {owner, spread, log, settings} = state;
  const leaving = isOwnerLeaving(owner, viewOwner(state, at));
  if (leaving === spread.announcedLeaving) {
    return;
  }
  spread.announcedLeaving = leaving;
  const update: PushUpdate = {
    kind: 'members',
    payload: [createOwnMemberInfo(state, at)],
  };
  pushToAllZones(log.table, settings, update, emit);
}

/**
 * Handles the failure of a dispatched attempt. Peers are notified of a crash
 * immediately, before an entry sends the request to another upstream.
 */
export function reduceUpstreamFailed(
  state: ProxyState,
  event: Extract<Event, {kind: 'upstreamFailed'}>,
  emit: Emit,
): void {
  const {owner} = state;
  const {at, attemptId, failure} = event;
  handleUpstreamFailure(owner, viewOwner(state, at), attemptId, failure, emit);
  if (failure === 'reset') {
    gossipToService(state, at, emit);
  }
}

/** Sends gossip to the other proxies of this proxy's service immediately. */
export function gossipToService(
  state: ProxyState,
  at: number,
  emit: Emit,
): void {
  const {log, settings, membership, suspects} = state;
  const self = createOwnMemberInfo(state, at);
  const request = createGossipRequest(
    self,
    membership,
    getNewestSuspects(suspects),
  );
  const own = log.table.upstreams.get(settings.id);
  const service =
    own === undefined ? undefined : log.table.services.get(own.service);
  for (const {id, peerAddress} of service?.upstreams ?? []) {
    if (id !== settings.id) {
      emit({kind: 'askPeer', address: peerAddress, request});
    }
  }
}

/** Starts a graceful shutdown and notifies the fleet immediately. */
export function reduceDrainRequested(
  state: ProxyState,
  at: number,
  emit: Emit,
): void {
  startDrain(state.owner);
  broadcastLeaving(state, at, emit);
}
