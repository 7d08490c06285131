/** Order in which news travels: into each zone once, then along a tree. */
import {MeshState, getLinkAddress} from './mesh_state.js';

/** Children of one proxy in its zone's tree. */
const FAN_OUT = 8;

/** Link addresses of the proxies in each zone, in an order all agree on. */
function getProxiesByZone(state: MeshState): Map<string, string[]> {
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
 * Finds this proxy's children in its zone's tree.
 * @param members - Proxies of the zone, in the agreed order.
 * @param root - Where the news entered the zone.
 * @param self - This proxy.
 * @returns Their addresses.
 */
export function getChildren(
  members: readonly string[],
  root: string,
  self: string,
): string[] {
  const others = members.filter(address => address !== root);
  const order = [root, ...others];
  const own = order.indexOf(self);
  if (own < 0) {
    return [];
  }
  return order.slice(own * FAN_OUT + 1, (own + 1) * FAN_OUT + 1);
}

export interface UpdateTargets {
  /** Proxies of the own zone, which pass the news on along the tree. */
  readonly children: readonly string[];
  /** One proxy of each other zone, which brings the news in there. */
  readonly relays: readonly string[];
}

/**
 * Finds whom this proxy tells.
 * @param state - This proxy's state.
 * @param root - Where the news entered this zone.
 * @param isOrigin - This proxy read the source itself.
 * @param broadcastCount - Varies the relays, so that a dead one is left out next time.
 * @returns Link addresses.
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

/** Prefers proxies whose link is open, because they are likely alive. */
function chooseRelay(
  state: MeshState,
  members: readonly string[],
  turn: number,
): string {
  const linkedMembers = members.filter(address => {
    const peer = state.peers.get(address);
    return peer !== undefined && !peer.leaving;
  });
  const choice = linkedMembers.length > 0 ? linkedMembers : members;
  return choice[linkedMembers.length > 0 ? 0 : turn % choice.length];
}

/** Lists the other proxies of this proxy's zone. */
export function getZonePeers(state: MeshState): string[] {
  const {zone, address} = state.settings;
  const members = getProxiesByZone(state).get(zone) ?? [];
  return members.filter(other => other !== address);
}

/**
 * Proxies of its zone to which each keeps a link open, also while nothing is
 * sent: one that restarts while the source is silent learns from whoever opens
 * a link to it.
 */
const LINKED_NEIGHBOURS = 3;

/** Lists the proxies that follow this one in its zone's order. */
export function getNeighbours(state: MeshState): string[] {
  const {address} = state.settings;
  const peers = getZonePeers(state);
  const later = peers.filter(other => other > address);
  const earlier = peers.filter(other => other < address);
  return [...later, ...earlier].slice(0, LINKED_NEIGHBOURS);
}
