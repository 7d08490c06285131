/** The steps of a planned stop: finish, hand over, then go. */
import {Emit} from '../types.js';
import {startQueued} from './dispatching.js';
import {createHandOvers} from './key_closing.js';
import {expireRecords} from './key_records.js';
import {Owner, OwnerView} from './owner_state.js';

export function startDrain(owner: Owner): void {
  owner.draining = true;
}

/**
 * Does what time has made due: expiry, and the steps of a planned stop.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param callsUnderWay - Calls that this proxy's entry has not answered.
 * @param emit - Takes effects.
 */
export function tickOwner(
  owner: Owner,
  view: OwnerView,
  callsUnderWay: number,
  emit: Emit,
): void {
  expireRecords(owner.keys, view.at);
  startQueued(owner, view, emit);
  const {admission, draining, drained} = owner;
  const idle = admission.running.size === 0 && admission.queue.length === 0;
  if (!draining || drained || !idle || callsUnderWay > 0) {
    return;
  }
  advanceHandOver(owner, view, emit);
}

function advanceHandOver(owner: Owner, view: OwnerView, emit: Emit): void {
  if (owner.handOver === undefined) {
    const requests = createHandOvers(owner, view);
    owner.handOver = {
      silentPeers: new Set(requests.keys()),
      startedAt: view.at,
    };
    for (const [address, request] of requests) {
      emit({kind: 'askPeer', address, request});
    }
  }
  const {silentPeers, startedAt} = owner.handOver;
  const {handOverTimeoutMs} = view.settings.limits;
  if (silentPeers.size === 0 || view.at - startedAt > handOverTimeoutMs) {
    owner.drained = true;
    emit({kind: 'drained'});
  }
}

export function noteHandOverSettled(owner: Owner, address: string): void {
  owner.handOver?.silentPeers.delete(address);
}
