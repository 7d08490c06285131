/**
 * What this proxy believes of the others. The configuration says who exists;
 * failed contacts, heartbeats and the platform's VM list say who is reachable
 * and who is leaving.
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

/** How long a failed contact counts against a proxy that stays silent. */
const CONTACT_FAILURE_TTL_MS = 30_000;

/**
 * Longest time by which the platform's VM list lags. A mark on a process that
 * is younger may concern its predecessor of the same name.
 */
const MAX_VM_LIST_LAG_MS = 30_000;

/** Members that one gossip message describes, besides its sender. */
const MEMBERS_PER_MESSAGE = 4;

/** Messages in which a change of a member is told; log2 of the fleet and more. */
const TRANSMISSIONS_PER_CHANGE = 14;

/** Age up to which the start of a process is news. */
const RECENT_START_MS = 60_000;

/** Records kept of proxies, the longest unheard of are dropped first. */
const MAX_MEMBERS = 4_096;

interface MemberRecord {
  info: MemberInfo;
  /** When a newer heartbeat last arrived, in Unix milliseconds. */
  heardAt: number;
}

export interface Membership {
  readonly selfId: string;
  /** Start of this process, in Unix milliseconds. */
  readonly startedAt: number;
  readonly members: Map<string, MemberRecord>;
  /** Members that changed, with the messages left in which to tell it. */
  readonly pendingUpdates: Map<string, number>;
  /** Time of the last failed contact by peer address. */
  readonly failedAt: Map<string, number>;
  readonly vmList: VmListCopy;
  /** Upstreams that the VM list shows as leaving, and has had time to. */
  leavingVms: ReadonlySet<string>;
  /** When a mark that is too fresh to count will count; Infinity if none. */
  nextLeavingMarkAt: number;
  /** Upstreams that the newest configuration folded no longer names. */
  removed: ReadonlySet<string>;
}

/**
 * Creates an empty view.
 * @param selfId - The upstream beside this proxy.
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
    nextLeavingMarkAt: Infinity,
    removed: new Set(),
  };
}

/**
 * Takes in what a peer says of a proxy; only newer heartbeats count.
 * @param membership - The view.
 * @param info - The description.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes counters.
 * @returns True where the proxy started to leave, or is back.
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

/** After a herd start everybody is fresh, which is no news. */
function isRecentStart(startedAt: number, at: number): boolean {
  return at - startedAt < RECENT_START_MS;
}

function isNewer(a: MemberInfo, b: MemberInfo): boolean {
  return (
    a.incarnation > b.incarnation ||
    (a.incarnation === b.incarnation && a.heartbeat > b.heartbeat)
  );
}

/**
 * Takes in the platform's VM list where its revision is newer.
 * @param membership - The view.
 * @param vmList - The list.
 * @param at - Now, in Unix milliseconds.
 * @returns What it changed, or undefined where it was not newer.
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
 * Takes in changes of the VM list where they start from our revision.
 * @param membership - The view.
 * @param changes - The changes.
 * @param at - Now, in Unix milliseconds.
 * @returns True where they were applied.
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

/** Lets marks of the VM list count once their process is old enough. */
export function applyDueLeavingMarks(membership: Membership, at: number): void {
  if (at >= membership.nextLeavingMarkAt) {
    refreshLeavingVms(membership, at);
  }
}

function refreshLeavingVms(membership: Membership, at: number): void {
  const leaving = new Set<string>();
  membership.nextLeavingMarkAt = Infinity;
  for (const [id, state] of membership.vmList.states) {
    if (state !== 'leaving') {
      continue;
    }
    const effectiveAt = getIncarnation(membership, id) + MAX_VM_LIST_LAG_MS;
    if (effectiveAt <= at) {
      leaving.add(id);
    } else {
      membership.nextLeavingMarkAt = Math.min(
        membership.nextLeavingMarkAt,
        effectiveAt,
      );
    }
  }
  membership.leavingVms = leaving;
}

/**
 * Gets the newest start of a proxy's process that has been heard of.
 * @param membership - The view.
 * @param id - The proxy.
 * @returns Unix milliseconds, or 0 where nothing has been heard.
 */
export function getIncarnation(membership: Membership, id: string): number {
  return id === membership.selfId
    ? membership.startedAt
    : (membership.members.get(id)?.info.incarnation ?? 0);
}

/**
 * Notes which upstreams the newest configuration removed.
 * @param membership - The view.
 * @param before - Upstreams that were in force or had been removed.
 * @param newest - Upstreams of the newest configuration folded.
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
 * Tells whether the platform has replaced or lost a VM, by its list.
 * @param membership - The view.
 * @param upstreamId - The upstream.
 * @returns True where a list is known and does not name it.
 */
export function isMissingFromVmList(
  membership: Membership,
  upstreamId: string,
): boolean {
  const {states} = membership.vmList;
  return states.size > 0 && !states.has(upstreamId);
}

export function recordContactFailure(
  membership: Membership,
  address: string,
  at: number,
): void {
  membership.failedAt.set(address, at);
}

export function recordContactSuccess(
  membership: Membership,
  address: string,
): void {
  membership.failedAt.delete(address);
}

/**
 * Tells whether a proxy is believed reachable; without evidence it is.
 * @param membership - The view.
 * @param address - The proxy's peer address.
 * @param at - Now, in Unix milliseconds.
 * @returns False for a while after a failed contact.
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
 * Tells whether an upstream is leaving by any news: its own proxy's heartbeat,
 * the platform's list, or its removal from the configuration.
 * @param membership - The view.
 * @param upstreamId - The upstream.
 * @returns True where it is known to leave.
 */
export function isLeaving(membership: Membership, upstreamId: string): boolean {
  return (
    membership.leavingVms.has(upstreamId) ||
    membership.removed.has(upstreamId) ||
    membership.members.get(upstreamId)?.info.leaving === true
  );
}

/**
 * Tells whether the health endpoint of an upstream says that it drains.
 * @param membership - The view.
 * @param upstreamId - The upstream.
 * @returns True where its proxy told so.
 */
export function hasDrainHint(
  membership: Membership,
  upstreamId: string,
): boolean {
  return membership.members.get(upstreamId)?.info.drainHint === true;
}

/**
 * Takes a few members whose change has not been told often enough, leaving
 * ones first, and counts the telling.
 * @param membership - The view.
 * @returns Their descriptions, for a gossip message.
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
  const selected = infos.slice(0, MEMBERS_PER_MESSAGE);
  for (const {id} of selected) {
    const remaining = (pendingUpdates.get(id) ?? 0) - 1;
    // Set again at the end, so that each change gets its turn.
    pendingUpdates.delete(id);
    if (remaining > 0) {
      pendingUpdates.set(id, remaining);
    }
  }
  return selected;
}
