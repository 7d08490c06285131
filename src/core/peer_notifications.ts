/** Tells peers of crashes and of an upstream that leaves. */
import {getNewestSuspects} from './owner/crash_suspects.js';
import {startDrain} from './owner/graceful_shutdown.js';
import {handleUpstreamFailure} from './owner/upstream_results.js';
import {isOwnerLeaving} from './owner/owner_state.js';
import {ProxyState, createOwnMemberInfo, viewOwner} from './proxy_state.js';
import {createGossip} from './spread/dissemination.js';
import {PushNews, pushToAllZones} from './spread/push.js';
import {Emit, Event} from './types.js';

/** Tells every zone at once when this upstream starts to leave, or is back. */
export function broadcastLeaving(
  state: ProxyState,
  at: number,
  emit: Emit,
): void {
  const {owner, spread, log, settings} = state;
  const leaving = isOwnerLeaving(owner, viewOwner(state, at));
  if (leaving === spread.toldLeaving) {
    return;
  }
  spread.toldLeaving = leaving;
  const update: PushNews = {
    kind: 'members',
    news: [createOwnMemberInfo(state, at)],
  };
  pushToAllZones(log.table, settings, update, emit);
}

/** A new crash is told at once, before the request is sent elsewhere. */
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

/** Sends news to the other proxies of the own service. */
export function gossipToService(
  state: ProxyState,
  at: number,
  emit: Emit,
): void {
  const {log, settings, membership, suspects} = state;
  const self = createOwnMemberInfo(state, at);
  const request = createGossip(self, membership, getNewestSuspects(suspects));
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
export function reduceDrainRequested(
  state: ProxyState,
  at: number,
  emit: Emit,
): void {
  startDrain(state.owner);
  broadcastLeaving(state, at, emit);
}
