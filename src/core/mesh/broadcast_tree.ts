/**
 * Targets of updates. The sender of an update divides the proxies that are still to
 * get it among a few receivers, and each message names those that its receiver is to
 * forward it to. No two proxies need the same view of the fleet, and each broadcast
 * takes other ways than the one before, so that a proxy that does not forward
 * delays the same peers only once.
 */
import {rankByRendezvous} from '../hashing.js';
import {MeshState} from './mesh_state.js';
import {
  LINKED_NEIGHBOURS,
  getFollowing,
  getMembersElsewhere,
  getZoneMembers,
  getZones,
} from './proxy_directory.js';

/** Largest number of proxies of its zone to which a proxy sends an update. */
const FAN_OUT = 8;

/** A receiver of an update in this zone. */
export interface UpdateTarget {
  readonly to: string;
  /** Proxies that it forwards the update to. */
  readonly forwardTo: readonly string[];
}

/**
 * Divides proxies among receivers. Proxies that are known to run, by an open link,
 * come first as receivers; among them the order differs with each broadcast.
 * @param state - This proxy's state.
 * @param members - Link addresses of the proxies that are to get the update.
 * @param isLarge - Whether the update takes long on a slow link. Then those with
 * the fastest links forward it.
 * @returns The receivers and what each is to forward.
 */
export function divideAmongReceivers(
  state: MeshState,
  members: readonly string[],
  isLarge: boolean,
): UpdateTarget[] {
  const order = orderReceivers(state, members, isLarge);
  const receivers = order.slice(0, FAN_OUT);
  const others = order.slice(FAN_OUT);
  return receivers.map((to, n) => ({
    to,
    forwardTo: others.filter((_other, m) => m % receivers.length === n),
  }));
}

function orderReceivers(
  state: MeshState,
  members: readonly string[],
  isLarge: boolean,
): string[] {
  const {settings, sourceReads, peers} = state;
  const subject = `${settings.address}/${sourceReads.broadcastCount}`;
  const shuffled = rankByRendezvous(subject, members);
  const getOrder = (address: string): number => {
    const peer = peers.get(address);
    if (peer === undefined || peer.leaving) {
      return Infinity;
    }
    return isLarge ? -peer.linkMbps : 0;
  };
  // The sort is stable, so receivers of one rank stay shuffled.
  return shuffled
    .map(address => ({address, order: getOrder(address)}))
    .sort((a, b) => (a.order === b.order ? 0 : a.order - b.order))
    .map(({address}) => address);
}

/** Reports whether an update to these proxies has to be forwarded by some of them. */
export function hasRelays(members: readonly string[]): boolean {
  return members.length > FAN_OUT;
}

/**
 * Gets one receiver in each other zone, which spreads the update there.
 * @param way - 0 for the first way of a broadcast, 1 for the second; the receivers
 * differ where a zone has several proxies.
 * @returns Link addresses.
 */
export function getZoneEntries(
  state: MeshState,
  isLarge: boolean,
  way: number,
): string[] {
  const entries: string[] = [];
  for (const zone of getZones(state)) {
    const members =
      zone === state.settings.zone ? [] : getZoneMembers(state, zone);
    if (members.length > way) {
      entries.push(orderReceivers(state, members, isLarge)[way]);
    }
  }
  return entries;
}

/** Gets the link addresses of the other proxies in this proxy's zone. */
export function getZonePeers(state: MeshState): string[] {
  return getZoneMembers(state, state.settings.zone);
}

/**
 * Gets the proxies that follow this one in its zone's sorted list, cyclically. Where
 * no other proxy of its zone is known yet, gets some of other zones.
 */
export function getNeighbours(state: MeshState): string[] {
  const {address} = state.settings;
  const peers = getZonePeers(state);
  if (peers.length > 0) {
    return getFollowing(address, peers);
  }
  const others = rankByRendezvous(address, getMembersElsewhere(state));
  return others.slice(0, LINKED_NEIGHBOURS);
}
