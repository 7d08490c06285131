/** The steps of a graceful shutdown: finish requests, hand over keys, exit. */
import {Emit} from '../types.js';
import {dispatchQueued} from './dispatching.js';
import {createHandOverRequests} from './key_closing.js';
import {expireRecords} from './key_records.js';
import {Owner, OwnerView} from './owner_state.js';

export function startDrain(owner: Owner): void {
  owner.draining = true;
}

/**
 * Performs the work that is due: expiry, and the steps of a graceful shutdown.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param activeCalls - Number of calls that the entry has not answered.
 * @param emit - Receives the effects.
 */
export function tickOwner(
  owner: Owner,
  view: OwnerView,
  activeCalls: number,
  emit: Emit,
): void {
  expireRecords(owner.keys, view.at);
  dispatchQueued(owner, view, emit);
  const {admission, draining, drained} = owner;
  const isIdle = admission.running.size === 0 && admission.queue.length === 0;
  if (!draining || drained || !isIdle || activeCalls > 0) {
    return;
  }
  advanceHandOver(owner, view, emit);
}

function advanceHandOver(owner: Owner, view: OwnerView, emit: Emit): void {
  if (owner.handOver === undefined) {
    const requests = createHandOverRequests(owner, view);
    owner.handOver = {
      pendingPeers: new Set(requests.keys()),
      startedAt: view.at,
    };
    for (const [address, request] of requests) {
      emit({kind: 'askPeer', address, request});
    }
  }
  const {pendingPeers, startedAt} = owner.handOver;
  const {handOverTimeoutMs} = view.settings.limits;
  if (pendingPeers.size === 0 || view.at - startedAt > handOverTimeoutMs) {
    owner.drained = true;
    emit({kind: 'drained'});
  }
}

/** Records that a peer has replied to the hand-over or cannot be reached. */
export function recordHandOverEnd(owner: Owner, address: string): void {
  owner.handOver?.pendingPeers.delete(address);
}
