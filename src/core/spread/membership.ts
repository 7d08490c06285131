/**
 * What this proxy believes of the others. The configuration says who exists;
 * failed contacts, heartbeats and the platform's VM list say who is reachable
 * and who is leaving.
 */
import {VmList} from '../../model/platform.js';
import {MemberInfo} from '../../model/peer.js';
import {Emit} from '../types.js';

/** How long a failed contact counts against a proxy that stays silent. */
const FAILURE_MEMORY_MS = 30_000;

/** Members that one gossip message describes, besides its sender. */
const MEMBERS_PER_MESSAGE = 4;

interface MemberRecord {
  info: MemberInfo;
  /** When a newer heartbeat last arrived, in Unix milliseconds. */
  heardAt: number;
}

export interface Membership {
  readonly members: Map<string, MemberRecord>;
  /** Time of the last failed contact by peer address. */
  readonly failedAt: Map<string, number>;
  vmList: VmList;
  /** Upstreams that the VM list shows as leaving. */
  leavingVms: ReadonlySet<string>;
}

export function createMembership(): Membership {
  return {
    members: new Map(),
    failedAt: new Map(),
    vmList: {revision: 0, vms: []},
    leavingVms: new Set(),
  };
}

/**
 * Takes in what a peer says of a proxy; only newer heartbeats count.
 * @param membership - The view.
 * @param info - The description.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes counters.
 */
export function mergeMember(
  membership: Membership,
  info: MemberInfo,
  at: number,
  emit: Emit,
): void {
  const known = membership.members.get(info.id);
  if (known !== undefined && !isNewer(info, known.info)) {
    return;
  }
  if (known?.info.leaving !== info.leaving) {
    const reason = info.leaving ? 'leaving' : 'live';
    emit({kind: 'count', counter: 'member_changed', reason});
  }
  membership.members.delete(info.id);
  membership.members.set(info.id, {info, heardAt: at});
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
 * @returns True where it was newer.
 */
export function mergeVmList(membership: Membership, vmList: VmList): boolean {
  if (vmList.revision <= membership.vmList.revision) {
    return false;
  }
  membership.vmList = vmList;
  membership.leavingVms = new Set(
    vmList.vms.filter(vm => vm.state === 'leaving').map(vm => vm.upstreamId),
  );
  return true;
}

export function noteContactFailed(
  membership: Membership,
  address: string,
  at: number,
): void {
  membership.failedAt.set(address, at);
}

export function noteContactWorked(
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
  return failedAt === undefined || at - failedAt > FAILURE_MEMORY_MS;
}

/**
 * Tells whether an upstream is leaving by any news: its own proxy's heartbeat
 * or the platform's list.
 * @param membership - The view.
 * @param upstreamId - The upstream.
 * @returns True where it is known to leave.
 */
export function isLeaving(membership: Membership, upstreamId: string): boolean {
  return (
    membership.leavingVms.has(upstreamId) ||
    membership.members.get(upstreamId)?.info.leaving === true
  );
}

/**
 * Gets the newest start of a proxy's process that has been heard of.
 * @param membership - The view.
 * @param id - The proxy.
 * @returns Unix milliseconds, or 0 where nothing has been heard.
 */
export function getIncarnation(membership: Membership, id: string): number {
  return membership.members.get(id)?.info.incarnation ?? 0;
}

/**
 * Picks the members heard of most recently, leaving ones first.
 * @param membership - The view.
 * @returns A few descriptions for a gossip message.
 */
export function getNews(membership: Membership): MemberInfo[] {
  const newestFirst = [...membership.members.values()]
    .slice(-4 * MEMBERS_PER_MESSAGE)
    .reverse()
    .map(({info}) => info);
  newestFirst.sort((a, b) => Number(b.leaving) - Number(a.leaving));
  return newestFirst.slice(0, MEMBERS_PER_MESSAGE);
}
