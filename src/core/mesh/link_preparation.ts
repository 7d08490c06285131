/**
 * Opens links before calls need them. Load pattern: a fleet that has just started,
 * whose first calls come all at once; each would wait until a link is open, and
 * opening them all in one moment takes the processor time of the calls.
 */
import {getProxiesByZone} from './broadcast_tree.js';
import {MeshState, isReady} from './mesh_state.js';

/**
 * Links that are opened in one interval. A fleet of 80 has all within about five
 * seconds, one of 630 within 40.
 */
const LINKS_PER_INTERVAL = 8;

/**
 * Takes the next proxies to which a link is to be opened. Each is taken once: a
 * link that cannot be opened, or is closed later, is opened again by the next call
 * that needs it. The proxies that follow this one in address order come first, so
 * that seldom both ends open a link to each other. None is taken until this proxy
 * is ready, or while calls are in progress.
 * @param state - This proxy's state.
 * @returns Link addresses.
 */
export function takeLinksToPrepare(state: MeshState): string[] {
  const {preparedLinks, peers, settings, calls} = state;
  if (!isReady(state) || calls.size > 0) {
    // After a restart, callers are waiting: their calls open what they need.
    return [];
  }
  const others = state.fleet.byAddress.size - 1;
  if (preparedLinks.size >= others) {
    return [];
  }
  const all = [...getProxiesByZone(state).values()].flat().sort();
  const own = all.indexOf(settings.address);
  const inOrder = [...all.slice(own + 1), ...all.slice(0, Math.max(0, own))];
  const next = inOrder
    .filter(address => !preparedLinks.has(address))
    .slice(0, LINKS_PER_INTERVAL);
  next.forEach(address => preparedLinks.add(address));
  return next.filter(address => !peers.has(address));
}
