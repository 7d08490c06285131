/**
 * The proxies of the fleet by zone, as the list of upstreams and the open links show
 * them. Kept until the list changes: a fleet of hundreds is not to be passed through
 * for each message.
 */
import {Instance} from '../../model/mesh.js';
import {MeshState, getLinkAddress} from './mesh_state.js';

export interface ProxyDirectory {
  /** The index of the fleet view from which this was created. */
  readonly index: ReadonlyMap<string, Instance>;
  /** Link addresses of the proxies beside registered upstreams, sorted, by zone. */
  readonly registeredByZone: ReadonlyMap<string, readonly string[]>;
  /** Identifiers of the upstreams that are registered beside each of them. */
  readonly instanceIds: ReadonlyMap<string, readonly string[]>;
}

function createDirectory(state: MeshState): ProxyDirectory {
  const zones = new Map<string, Set<string>>();
  const instanceIds = new Map<string, string[]>();
  for (const instance of state.fleet.instances.values()) {
    const address = getLinkAddress(state, instance);
    const members = zones.get(instance.zone) ?? new Set<string>();
    zones.set(instance.zone, members.add(address));
    const ids = instanceIds.get(address) ?? [];
    ids.push(instance.id);
    instanceIds.set(address, ids);
  }
  const registeredByZone = new Map(
    [...zones].map(([zone, members]) => [zone, [...members].sort()]),
  );
  return {index: state.fleet.byAddress, registeredByZone, instanceIds};
}

function getDirectory(state: MeshState): ProxyDirectory {
  if (state.directory?.index !== state.fleet.byAddress) {
    state.directory = createDirectory(state);
  }
  return state.directory;
}

/**
 * Gets the identifiers of the upstreams that are registered beside a proxy.
 * @param state - This proxy's state.
 * @param address - The proxy's link address.
 */
export function getInstanceIds(
  state: MeshState,
  address: string,
): readonly string[] {
  return getDirectory(state).instanceIds.get(address) ?? [];
}

/**
 * Gets the peers with an open link beside which no upstream is registered: they have
 * just started, so only proxies with a link to them know that they run.
 * @returns Link addresses and zones.
 */
export function getUnregisteredPeers(
  state: MeshState,
): Array<{readonly address: string; readonly zone: string}> {
  const {instanceIds} = getDirectory(state);
  const unregistered = [];
  for (const [address, {zone}] of state.peers) {
    if (!instanceIds.has(address)) {
      unregistered.push({address, zone});
    }
  }
  return unregistered;
}

/**
 * Number of proxies of its zone to which each keeps a link open, also while
 * nothing is sent. A proxy that restarts while the source is unreachable knows
 * no peers, and gets the state from those that open a link to it.
 */
export const LINKED_NEIGHBOURS = 3;

/**
 * Gets the proxies that follow an address in a sorted list, cyclically.
 * @param address - Link address, in the list or not.
 * @param members - Link addresses, sorted.
 */
export function getFollowing(
  address: string,
  members: readonly string[],
): string[] {
  const later = members.filter(other => other > address);
  const earlier = members.filter(other => other < address);
  return [...later, ...earlier].slice(0, LINKED_NEIGHBOURS);
}

/**
 * Gets the peers without a registered upstream that depend on this proxy for updates:
 * it is one of the few neighbours to which they open links. Without that limit, each
 * of their peers would send them the same.
 * @returns Link addresses.
 */
export function getDependentPeers(state: MeshState): string[] {
  const {address: own} = state.settings;
  const {registeredByZone} = getDirectory(state);
  return getUnregisteredPeers(state)
    .filter(({address, zone}) => {
      const members = registeredByZone.get(zone);
      return (
        members === undefined || getFollowing(address, members).includes(own)
      );
    })
    .map(({address}) => address);
}

/** Gets all zones with a proxy, this proxy's among them. */
export function getZones(state: MeshState): string[] {
  const zones = new Set(getDirectory(state).registeredByZone.keys());
  zones.add(state.settings.zone);
  getUnregisteredPeers(state).forEach(({zone}) => zones.add(zone));
  return [...zones];
}

/** Gets the link addresses of the proxies of all other zones. */
export function getMembersElsewhere(state: MeshState): string[] {
  return getZones(state)
    .filter(zone => zone !== state.settings.zone)
    .flatMap(zone => getZoneMembers(state, zone));
}

/**
 * Gets the proxies of a zone without this one.
 * @returns Link addresses, sorted.
 */
export function getZoneMembers(state: MeshState, zone: string): string[] {
  const registered = getDirectory(state).registeredByZone.get(zone) ?? [];
  const unregistered = getUnregisteredPeers(state)
    .filter(peer => peer.zone === zone)
    .map(({address}) => address);
  const members =
    unregistered.length === 0
      ? registered
      : [...registered, ...unregistered].sort();
  return members.filter(address => address !== state.settings.address);
}
