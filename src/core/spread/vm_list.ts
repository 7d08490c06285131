/** The platform's VM list and the changes between its revisions. */
import {Vm, VmChanges, VmList} from '../../model/platform.js';

/** Changes kept for peers that are a little behind. */
const MAX_KEPT_CHANGES = 64;

export interface VmListCopy {
  revision: number;
  /** State of each VM by upstream. */
  readonly states: Map<string, Vm['state']>;
  /** The last changes, oldest first; each applies to the one before. */
  readonly recentChanges: VmChanges[];
}

export function createVmListCopy(): VmListCopy {
  return {revision: 0, states: new Map(), recentChanges: []};
}

/**
 * Compares a whole list with the copy.
 * @param copy - The copy, which stays as it is.
 * @param list - A list of a later revision.
 * @returns What turns the copy into the list.
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
 * Applies changes where they start from the copy's revision.
 * @param copy - The copy.
 * @param changes - The changes.
 * @returns True where they were applied.
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
 * Gets what a peer with an older revision lacks.
 * @param copy - The copy.
 * @param revision - The peer's revision.
 * @returns Changes where they are kept, the whole list otherwise, and nothing
 *     for a peer that lacks nothing.
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
