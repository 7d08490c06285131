/** A copy of the platform's VM list and the changes between its revisions. */
import {Vm, VmChanges, VmList} from '../../model/platform.js';

/** Changes kept for peers whose revision is slightly older. */
const MAX_KEPT_CHANGES = 64;

/** A proxy's copy of the VM list. */
export interface VmListCopy {
  revision: number;
  /** State of each VM by upstream identifier. */
  readonly states: Map<string, Vm['state']>;
  /** The last changes, oldest first; each is based on the one before. */
  readonly recentChanges: VmChanges[];
}

export function createVmListCopy(): VmListCopy {
  return {revision: 0, states: new Map(), recentChanges: []};
}

/**
 * Computes the changes from the copy to a later revision of the list.
 * @param copy - The copy, which is not changed.
 * @param list - The whole list of a later revision.
 * @returns The changes that turn the copy into the list.
 */
export function diffVmList(copy: VmListCopy, list: VmList): VmChanges {
  const changed = list.vms.filter(
    ({upstreamId, state}) => copy.states.get(upstreamId) !== state,
  );
  const listed = new Set(list.vms.map(({upstreamId}) => upstreamId));
  const removed = [...copy.states.keys()].filter(id => !listed.has(id));
  return {base: copy.revision, revision: list.revision, changed, removed};
}

/**
 * Applies changes if their base is the copy's revision.
 * @param copy - The copy, which is updated.
 * @param changes - The changes.
 * @returns True if they were applied.
 */
export function tryApplyVmChanges(
  copy: VmListCopy,
  changes: VmChanges,
): boolean {
  const {base, revision} = changes;
  if (base !== copy.revision || revision <= base) {
    return false;
  }
  for (const {upstreamId, state} of changes.changed) {
    copy.states.set(upstreamId, state);
  }
  for (const id of changes.removed) {
    copy.states.delete(id);
  }
  copy.revision = revision;
  copy.recentChanges.push(changes);
  if (copy.recentChanges.length > MAX_KEPT_CHANGES) {
    copy.recentChanges.shift();
  }
  return true;
}

/**
 * Gets the update for a peer with an older revision of the list.
 * @param copy - The copy.
 * @param revision - The peer's revision.
 * @returns The changes since that revision if they are kept, the whole list
 *     otherwise, or an empty object if the peer is up to date.
 */
export function getVmUpdate(
  copy: VmListCopy,
  revision: number,
): {vmChanges?: VmChanges[]; vmList?: VmList} {
  if (revision >= copy.revision) {
    return {};
  }
  const first = copy.recentChanges.findIndex(({base}) => base === revision);
  if (first >= 0 && revision > 0) {
    return {vmChanges: copy.recentChanges.slice(first)};
  }
  const vms = [...copy.states].map(([upstreamId, state]) => ({
    upstreamId,
    state,
  }));
  return {vmList: {revision: copy.revision, vms}};
}
