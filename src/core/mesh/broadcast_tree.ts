/**
 * Targets of updates. An update enters each zone at one proxy and spreads there
 * along a tree that every member computes from the same sorted list.
 */
import {MeshState, getLinkAddress} from './mesh_state.js';

/** Largest number of children of a proxy in its zone's tree. */
const FAN_OUT = 8;

/** Gets the link addresses of the proxies in each zone, sorted. */
export function getProxiesByZone(state: MeshState): Map<string, string[]> {
  const zones = new Map<string, Set<string>>();
  const add = (zone: string, address: string) => {
    const members = zones.get(zone) ?? new Set<string>();
    zones.set(zone, members.add(address));
  };
  for (const instance of state.fleet.instances.values()) {
    add(instance.zone, getLinkAddress(state, instance));
  }
  for (const [address, {zone}] of state.peers) {
    add(zone, address);
  }
  add(state.settings.zone, state.settings.address);
  return new Map(
    [...zones].map(([zone, members]) => [zone, [...members].sort()]),
  );
}

/**
 * Gets the children of a proxy in its zone's tree.
 * @param members - Link addresses of the zone's proxies, sorted.
 * @param root - Address at which the update entered the zone.
 * @param self - Address of the proxy.
 * @returns The children's addresses.
 */
export function getChildren(
  members: readonly string[],
  root: string,
  self: string,
): string[] {
  const others = members.filter(address => address !== root);
  const order = [root, ...others];
  const ownIndex = order.indexOf(self);
  if (ownIndex < 0) {
    return [];
  }
  return order.slice(ownIndex * FAN_OUT + 1, (ownIndex + 1) * FAN_OUT + 1);
}

/** Link addresses to which a proxy sends an update. */
export interface UpdateTargets {
  /** Proxies of this zone, which forward it along the tree. */
  readonly children: readonly string[];
  /** One proxy of each other zone, which starts that zone's tree. */
  readonly relays: readonly string[];
}

/**
 * Gets the proxies to which this proxy sends an update.
 * @param state - This proxy's state.
 * @param root - Address at which the update entered this zone.
 * @param isOrigin - Whether this proxy created the update.
 * @param broadcastCount - Number of broadcasts so far. Varies the relay of a
 * zone to which no link is open, so that the next update goes to another proxy
 * if this one does not run.
 * @returns The link addresses.
 */
export function getUpdateTargets(
  state: MeshState,
  root: string,
  isOrigin: boolean,
  broadcastCount: number,
): UpdateTargets {
  const {zone, address} = state.settings;
  const zones = getProxiesByZone(state);
  const children = getChildren(zones.get(zone) ?? [], root, address);
  const relays: string[] = [];
  if (isOrigin) {
    for (const [other, members] of zones) {
      if (other !== zone) {
        relays.push(chooseRelay(state, members, broadcastCount));
      }
    }
  }
  return {children, relays};
}

/** Chooses a proxy of another zone; an open link shows that it is running. */
function chooseRelay(
  state: MeshState,
  members: readonly string[],
  broadcastCount: number,
): string {
  const linkedMembers = members.filter(address => {
    const peer = state.peers.get(address);
    return peer !== undefined && !peer.leaving;
  });
  const choice = linkedMembers.length > 0 ? linkedMembers : members;
  return choice[linkedMembers.length > 0 ? 0 : broadcastCount % choice.length];
}

/** Gets the link addresses of the other proxies in this proxy's zone. */
export function getZonePeers(state: MeshState): string[] {
  const {zone, address} = state.settings;
  const members = getProxiesByZone(state).get(zone) ?? [];
  return members.filter(other => other !== address);
}

/**
 * Number of proxies of its zone to which each keeps a link open, also while
 * nothing is sent. A proxy that restarts while the source is unreachable knows
 * no peers, and gets the state from those that open a link to it.
 */
const LINKED_NEIGHBOURS = 3;

/** Gets the proxies that follow this one in its zone's sorted list, cyclically. */
export function getNeighbours(state: MeshState): string[] {
  const {address} = state.settings;
  const peers = getZonePeers(state);
  const later = peers.filter(other => other > address);
  const earlier = peers.filter(other => other < address);
  return [...later, ...earlier].slice(0, LINKED_NEIGHBOURS);
}
