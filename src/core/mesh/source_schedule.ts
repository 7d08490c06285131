/**
 * Decides when this proxy reads the fleet from the source. The proxies don't
 * elect a reader. Each reads once its knowledge is older than the read interval
 * plus a delay that grows with its rank. Normally the proxy of rank 0 reads and
 * broadcasts an update, which restarts the others' delays. If it cannot read or
 * has gone, the delay of rank 1 ends next. Who has read in place of others goes on
 * without a delay until another proxy reads: the source may not answer those.
 */
import {isEarlier} from './fleet_view.js';
import {MeshState, getLinkAddress, getOwnInstance} from './mesh_state.js';

/** Delay that each rank adds; covers a read and the broadcast of its update. */
const RANK_DELAY_MS = 250;

/** Ranks are capped at this one, whose delay has a random part. */
const MAX_RANK = 5;
const MAX_RANK_JITTER_MS = 600;

/**
 * Records a reading of the fleet. One that came late enough for the delay of a rank
 * stands in for a proxy that ranks first and did not read.
 * @param ageMs - Age of what was known until now, in milliseconds.
 */
export function recordReading(state: MeshState, ageMs: number): void {
  const {sourceReads, settings} = state;
  const isInPlace =
    Number.isFinite(ageMs) && ageMs >= settings.readIntervalMs + RANK_DELAY_MS;
  sourceReads.standsIn =
    isInPlace || (sourceReads.standsIn && isLatestReader(state));
}

/** Reports whether this proxy made the latest reading that it knows of. */
function isLatestReader({polling, settings}: MeshState): boolean {
  return polling.appointment?.by === settings.address;
}

/**
 * Gets this proxy's rank as a reader. Older upstreams rank first, because this
 * order changes least.
 */
function getReaderRank(state: MeshState): number {
  const own = getOwnInstance(state);
  if (own === undefined || state.stopRequestedAt !== undefined) {
    return MAX_RANK;
  }
  if (state.sourceReads.standsIn && isLatestReader(state)) {
    return 0;
  }
  let rank = 0;
  for (const other of state.fleet.instances.values()) {
    const earlier =
      isEarlier(other, own) || (!isEarlier(own, other) && other.id < own.id);
    const peer = state.peers.get(getLinkAddress(state, other));
    if (earlier && peer?.leaving !== true) {
      rank += 1;
    }
  }
  return Math.min(rank, MAX_RANK);
}

/**
 * Reports whether a read of the fleet is due.
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
  // A listing that may be stale is to be replaced soon, but not by all proxies of a
  // fleet that has just started: it restarts the delays, without the interval.
  const knowsPeers = state.fleet.instances.size > 0;
  const listedAt =
    sourceReads.staleListedAt - (knowsPeers ? settings.readIntervalMs : 0);
  const ageMs = at - Math.max(sourceReads.freshAt, listedAt);
  // Checked first because the rank takes a pass over the whole fleet.
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
