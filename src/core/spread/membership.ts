/**
 * This proxy's view of the other proxies. The configuration defines which
 * proxies exist; failed contacts, heartbeats and the platform's VM list show
 * which of them are reachable and which are leaving.
 */
import {VmChanges, VmList} from '../../model/platform.js';
import {MemberInfo} from '../../model/peer.js';
import {Emit} from '../types.js';
import {
  createVmListCopy,
  diffVmList,
  tryApplyVmChanges,
  VmListCopy,
} from './vm_list.js';

/** How long a proxy counts as unreachable after a failed contact. */
const CONTACT_FAILURE_TTL_MS = 30_000;

/**
 * Longest time by which the platform's VM list lags. If a process started more
 * recently than this, its VM may be listed as leaving because of the previous
 * process with the same name.
 */
const MAX_VM_LIST_LAG_MS = 30_000;

/** Members that one gossip message describes at most, besides its sender. */
const MAX_MEMBERS_PER_MESSAGE = 4;

/**
 * Messages in which this proxy passes on a change of a member. Above log2 of
 * the fleet size, so that gossip reaches the whole fleet.
 */
const TRANSMISSIONS_PER_CHANGE = 14;

/** Age up to which the start of a process counts as recent. */
const RECENT_START_MS = 60_000;

/** Members kept at most; the least recently updated are dropped first. */
const MAX_MEMBERS = 4_096;

interface MemberRecord {
  info: MemberInfo;
  /** When a newer heartbeat last arrived, in Unix milliseconds. */
  heardAt: number;
}

/** What this proxy knows of the other proxies. */
export interface Membership {
  readonly selfId: string;
  /** Start of this process, in Unix milliseconds. */
  readonly startedAt: number;
  readonly members: Map<string, MemberRecord>;
  /** Changed members, with the number of messages that still include them. */
  readonly pendingUpdates: Map<string, number>;
  /** Time of the last failed contact by peer address. */
  readonly failedAt: Map<string, number>;
  readonly vmList: VmListCopy;
  /**
   * Upstreams that the VM list shows as leaving and whose process is older than
   * the list's lag.
   */
  leavingVms: ReadonlySet<string>;
  /**
   * When the next upstream shown as leaving enters `leavingVms`, in Unix
   * milliseconds; Infinity if there is none.
   */
  nextLeavingVmAt: number;
  /** Upstreams that the newest folded configuration no longer contains. */
  removed: ReadonlySet<string>;
}

/**
 * Creates an empty membership view.
 * @param selfId - Identifier of this proxy and its upstream.
 * @param startedAt - Start of this process, in Unix milliseconds.
 * @returns The view.
 */
export function createMembership(
  selfId: string,
  startedAt: number,
): Membership {
  return {
    selfId,
    startedAt,
    members: new Map(),
    pendingUpdates: new Map(),
    failedAt: new Map(),
    vmList: createVmListCopy(),
    leavingVms: new Set(),
    nextLeavingVmAt: Infinity,
    removed: new Set(),
  };
}

/**
 * Applies a description of a proxy if it is newer than the known one.
 * @param membership - The view, which is updated.
 * @param info - The description.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Receives counters.
 * @returns True if the proxy started to leave or is no longer leaving.
 */
export function mergeMember(
  membership: Membership,
  info: MemberInfo,
  at: number,
  emit: Emit,
): boolean {
  const {members, pendingUpdates} = membership;
  const known = members.get(info.id)?.info;
  if (
    info.id === membership.selfId ||
    (known !== undefined && !isNewer(info, known))
  ) {
    return false;
  }
  members.delete(info.id);
  members.set(info.id, {info, heardAt: at});
  if (members.size > MAX_MEMBERS) {
    const [oldest] = members.keys();
    members.delete(oldest);
  }
  // After a restart of the whole fleet every process is new, so the start of
  // a member is passed on only by proxies that have run for a while.
  const restarted =
    known === undefined
      ? isRecentStart(info.incarnation, at) &&
        !isRecentStart(membership.startedAt, at)
      : known.incarnation < info.incarnation;
  const changed = (known?.leaving ?? false) !== info.leaving;
  if (changed) {
    const reason = info.leaving ? 'leaving' : 'live';
    emit({kind: 'count', counter: 'member_changed', reason});
  }
  if (changed || restarted) {
    pendingUpdates.set(info.id, TRANSMISSIONS_PER_CHANGE);
    refreshLeavingVms(membership, at);
  }
  return changed;
}

/** Reports whether a process started less than a minute ago. */
function isRecentStart(startedAt: number, at: number): boolean {
  return at - startedAt < RECENT_START_MS;
}

/** Reports whether one description of a proxy is newer than another. */
function isNewer(a: MemberInfo, b: MemberInfo): boolean {
  return (
    a.incarnation > b.incarnation ||
    (a.incarnation === b.incarnation && a.heartbeat > b.heartbeat)
  );
}

/**
 * Applies the platform's VM list if its revision is newer than ours.
 * @param membership - The view, which is updated.
 * @param vmList - The list.
 * @param at - Now, in Unix milliseconds.
 * @returns The changes, or undefined if the list was not newer.
 */
export function mergeVmList(
  membership: Membership,
  vmList: VmList,
  at: number,
): VmChanges | undefined {
  if (vmList.revision <= membership.vmList.revision) {
    return undefined;
  }
  const changes = diffVmList(membership.vmList, vmList);
  return mergeVmChanges(membership, changes, at) ? changes : undefined;
}

/**
 * Applies changes of the VM list if their base is our revision.
 * @param membership - The view, which is updated.
 * @param changes - The changes.
 * @param at - Now, in Unix milliseconds.
 * @returns True if they were applied.
 */
export function mergeVmChanges(
  membership: Membership,
  changes: VmChanges,
  at: number,
): boolean {
  if (!tryApplyVmChanges(membership.vmList, changes)) {
    return false;
  }
  refreshLeavingVms(membership, at);
  return true;
}

/**
 * Recomputes the leaving upstreams when a process that the VM list shows as
 * leaving has become older than the list's lag.
 */
export function refreshDueLeavingVms(membership: Membership, at: number): void {
  if (at >= membership.nextLeavingVmAt) {
    refreshLeavingVms(membership, at);
  }
}

/** Recomputes `leavingVms` and `nextLeavingVmAt`. */
function refreshLeavingVms(membership: Membership, at: number): void {
  const leaving = new Set<string>();
  membership.nextLeavingVmAt = Infinity;
  for (const [id, state] of membership.vmList.states) {
    if (state !== 'leaving') {
      continue;
    }
    const effectiveAt = getIncarnation(membership, id) + MAX_VM_LIST_LAG_MS;
    if (effectiveAt <= at) {
      leaving.add(id);
    } else {
      membership.nextLeavingVmAt = Math.min(
        membership.nextLeavingVmAt,
        effectiveAt,
      );
    }
  }
  membership.leavingVms = leaving;
}

/**
 * Gets the latest known start time of a proxy's process.
 * @param membership - The view.
 * @param id - Identifier of the proxy.
 * @returns Unix milliseconds, or 0 if unknown.
 */
export function getIncarnation(membership: Membership, id: string): number {
  return id === membership.selfId
    ? membership.startedAt
    : (membership.members.get(id)?.info.incarnation ?? 0);
}

/**
 * Records which upstreams the newest folded configuration removes.
 * @param membership - The view, which is updated.
 * @param before - Identifiers of the upstreams in force.
 * @param newest - Upstreams of the newest folded configuration.
 */
export function recordRemovals(
  membership: Membership,
  before: Iterable<string>,
  newest: Readonly<Record<string, unknown>>,
): void {
  const removedIds = [...membership.removed, ...before].filter(
    id => !Object.hasOwn(newest, id),
  );
  membership.removed = new Set(removedIds);
}

/**
 * Reports whether the platform's VM list no longer contains an upstream's VM.
 * @param membership - The view.
 * @param upstreamId - Identifier of the upstream.
 * @returns True if a VM list is known and does not contain it.
 */
export function isMissingFromVmList(
  membership: Membership,
  upstreamId: string,
): boolean {
  const {states} = membership.vmList;
  return states.size > 0 && !states.has(upstreamId);
}

/** Records that a message to a peer failed. */
export function recordContactFailure(
  membership: Membership,
  address: string,
  at: number,
): void {
  membership.failedAt.set(address, at);
}

/** Records that a peer answered a message. */
export function recordContactSuccess(
  membership: Membership,
  address: string,
): void {
  membership.failedAt.delete(address);
}

/**
 * Reports whether a proxy is presumed reachable, which is the default.
 * @param membership - The view.
 * @param address - The proxy's peer address.
 * @param at - Now, in Unix milliseconds.
 * @returns False for 30 seconds after a failed contact, unless a later contact
 *     succeeded.
 */
export function isReachable(
  membership: Membership,
  address: string,
  at: number,
): boolean {
  const failedAt = membership.failedAt.get(address);
  return failedAt === undefined || at - failedAt > CONTACT_FAILURE_TTL_MS;
}

/**
 * Reports whether an upstream is leaving according to its own proxy, the
 * platform's VM list or the newest folded configuration.
 * @param membership - The view.
 * @param upstreamId - Identifier of the upstream.
 * @returns True if any of them says so.
 */
export function isLeaving(membership: Membership, upstreamId: string): boolean {
  return (
    membership.leavingVms.has(upstreamId) ||
    membership.removed.has(upstreamId) ||
    membership.members.get(upstreamId)?.info.leaving === true
  );
}

/**
 * Reports whether the health endpoint of an upstream says that it drains.
 * @param membership - The view.
 * @param upstreamId - Identifier of the upstream.
 * @returns True if its proxy reported so.
 */
export function hasDrainHint(
  membership: Membership,
  upstreamId: string,
): boolean {
  return membership.members.get(upstreamId)?.info.drainHint === true;
}

/**
 * Selects the changed members to include in the next gossip message, leaving
 * ones first, and counts one transmission of each.
 * @param membership - The view, which is updated.
 * @returns Their descriptions, at most 4.
 */
export function takeMemberUpdates(membership: Membership): MemberInfo[] {
  const {members, pendingUpdates} = membership;
  const infos: MemberInfo[] = [];
  for (const id of pendingUpdates.keys()) {
    const info = members.get(id)?.info;
    if (info !== undefined) {
      infos.push(info);
    }
  }
  infos.sort((a, b) => Number(b.leaving) - Number(a.leaving));
  const selected = infos.slice(0, MAX_MEMBERS_PER_MESSAGE);
  for (const {id} of selected) {
    const remaining = (pendingUpdates.get(id) ?? 0) - 1;
    // Inserted again at the end of the map, so that all changes take turns.
    pendingUpdates.delete(id);
    if (remaining > 0) {
      pendingUpdates.set(id, remaining);
    }
  }
  return selected;
}
