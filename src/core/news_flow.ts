/** Tells peers of crashes and of an upstream that leaves. */
import {getSuspectNews} from './owner/crash_suspects.js';
import {startDrain} from './owner/planned_stop.js';
import {takeUpstreamFailure} from './owner/upstream_results.js';
import {isOwnerLeaving} from './owner/owner_state.js';
import {ProxyState, describe, viewOwner} from './proxy_state.js';
import {createGossipRequest} from './spread/dissemination.js';
import {PushUpdate, pushToAllZones} from './spread/push.js';
import {Emit, Event} from './types.js';

/** Tells every zone at once when this upstream starts to leave, or is back. */
export function tellLeaving(state: ProxyState, at: number, emit: Emit): void {
  const {owner, spread, log, settings} = state;
  const leaving = isOwnerLeaving(owner, viewOwner(state, at));
  if (leaving === spread.announcedLeaving) {
    return;
  }
  spread.announcedLeaving = leaving;
  const update: PushUpdate = {kind: 'members', payload: [describe(state, at)]};
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
  takeUpstreamFailure(owner, viewOwner(state, at), attemptId, failure, emit);
  if (failure === 'reset') {
    tellService(state, at, emit);
  }
}

/** Sends news to the other proxies of the own service. */
export function tellService(state: ProxyState, at: number, emit: Emit): void {
  const {log, settings, membership, suspects} = state;
  const self = describe(state, at);
  const request = createGossipRequest(
    self,
    membership,
    getSuspectNews(suspects),
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

/** Starts a planned stop and tells the fleet at once. */
export function reduceDrain(state: ProxyState, at: number, emit: Emit): void {
  startDrain(state.owner);
  tellLeaving(state, at, emit);
}
