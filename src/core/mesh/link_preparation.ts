/**
 * Opens links before calls need them. Load pattern: a fleet that has just started,
 * whose first calls come all at once; each would wait until a link is open, and
 * opening them all in one moment takes the processor time of the calls. Each proxy
 * opens a bounded number, whatever the size of the fleet.
 */
import {rankByRendezvous} from '../hashing.js';
import {MeshState, isReady} from './mesh_state.js';
import {getMembersElsewhere, getZoneMembers} from './proxy_directory.js';

/** Links that are opened in one interval. */
const LINKS_PER_INTERVAL = 8;

/** Proxies of its own zone to which a proxy opens links in advance. */
const MAX_IN_ZONE = 24;

/** Proxies of all other zones to which it does. */
const MAX_ELSEWHERE = 16;

/** Links that a proxy opens in advance, whatever the size of the fleet. */
export const MAX_PREPARED = MAX_IN_ZONE + MAX_ELSEWHERE;

/**
 * Takes the next proxies to which a link is to be opened. Each is taken once: a
 * link that cannot be opened, or is closed later, is opened again by the next call
 * that needs it. None is taken until this proxy is ready, or while calls are in
 * progress.
 * @param state - This proxy's state.
 * @returns Link addresses.
 */
export function takeLinksToPrepare(state: MeshState): string[] {
  const {preparedLinks, peers, calls} = state;
  if (!isReady(state) || calls.size > 0) {
    // After a restart, callers are waiting: their calls open what they need.
    return [];
  }
  const others = state.fleet.byAddress.size - 1;
  if (preparedLinks.size >= Math.min(MAX_PREPARED, others)) {
    return [];
  }
  const targets = getTargets(state);
  targets
    .filter(address => peers.has(address))
    .forEach(address => preparedLinks.add(address));
  const next = targets
    .filter(address => !preparedLinks.has(address))
    .slice(0, LINKS_PER_INTERVAL);
  next.forEach(address => preparedLinks.add(address));
  return next;
}

function getTargets(state: MeshState): string[] {
  const {address, zone} = state.settings;
  const inZone = getZoneMembers(state, zone);
  // Those that follow in address order: seldom do both ends open a link to each other.
  const following = [
    ...inZone.filter(other => other > address),
    ...inZone.filter(other => other < address),
  ];
  // The same order as that of the preferred upstreams.
  const ranked = rankByRendezvous(address, getMembersElsewhere(state));
  return [
    ...following.slice(0, MAX_IN_ZONE),
    ...ranked.slice(0, MAX_ELSEWHERE),
  ];
}
