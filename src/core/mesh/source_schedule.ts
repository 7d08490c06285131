/**
 * Decides when this proxy reads the source. Proxies do not elect a reader:
 * each waits for as long as its rank says since it last heard, from the
 * source or a peer, how things stand there. So the first of the ranking reads
 * and tells the others; where it is turned away or gone, the next one's wait
 * ends a moment later.
 */
import {MeshState, getLinkAddress, getOwnInstance} from './mesh_state.js';

/** Wait that each rank adds; covers a read and the news of it. */
const RANK_DELAY_MS = 250;

/** Ranks beyond this one wait alike, with a random part. */
const MAX_RANK = 5;
const MAX_RANK_JITTER_MS = 600;

/**
 * Time for which a configuration is waited for, in milliseconds. A wait that
 * is cut without notice ends soon after.
 */
export const CONFIG_LONG_POLL_MS = 1_000;

/** Oldest first: long-lived proxies change least. */
function getReaderRank(state: MeshState): number {
  const own = getOwnInstance(state);
  if (own === undefined || state.stopRequestedAt !== undefined) {
    return MAX_RANK;
  }
  let rank = 0;
  for (const other of state.fleet.instances.values()) {
    const earlier =
      other.incarnation < own.incarnation ||
      (other.incarnation === own.incarnation && other.id < own.id);
    const peer = state.peers.get(getLinkAddress(state, other));
    if (earlier && peer?.leaving !== true) {
      rank += 1;
    }
  }
  return Math.min(rank, MAX_RANK);
}

/**
 * Tells whether a read of the source is due.
 * @param state - This proxy's state.
 * @param at - Now, in milliseconds.
 * @param entropy - A random unsigned 32-bit integer.
 */
export function isReadDue(
  state: MeshState,
  at: number,
  entropy: number,
): boolean {
  const {sourceReads, settings} = state;
  const ageMs = at - sourceReads.freshAt;
  // The ranking goes through the whole fleet, so it comes last.
  if (
    sourceReads.fleetReadPending ||
    at < sourceReads.notBefore ||
    ageMs < settings.readIntervalMs
  ) {
    return false;
  }
  const rank = getReaderRank(state);
  const jitterMs =
    rank < MAX_RANK ? 0 : (entropy / 2 ** 32) * MAX_RANK_JITTER_MS;
  const waitMs = settings.readIntervalMs + rank * RANK_DELAY_MS + jitterMs;
  return ageMs >= waitMs;
}
