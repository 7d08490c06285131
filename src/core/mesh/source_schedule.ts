/**
 * Decides when this proxy reads the fleet from the source. The proxies don't
 * elect a reader. Each reads once its knowledge is older than the read interval
 * plus a delay that grows with its rank. Normally the proxy of rank 0 reads and
 * broadcasts an update, which restarts the others' delays. If it cannot read or
 * has gone, the delay of rank 1 ends next. Who has read in place of others goes on
 * without a delay until another proxy reads: the source may not answer those.
 *
 * Any number of those that rank first may be gone, so all delays end by the age at
 * which a list may no longer be used. The proxies without a delay of their own share
 * the rest of the time: most draw a delay near its end, so that few read at once even
 * in a large fleet.
 */
import {getHashFraction} from '../hashing.js';
import {isEarlier} from './fleet_view.js';
import {MeshSettings} from './mesh_settings.js';
import {MeshState, getLinkAddress, getOwnInstance} from './mesh_state.js';

/** Largest delay that a rank adds; covers a read and the broadcast of its update. */
const MAX_RANK_DELAY_MS = 250;

/** Ranks from this one on draw their delays. */
const FIRST_DRAWN_RANK = 2;

/** Part of the time for delays that each rank before those adds at most. */
const RANK_DELAY_SHARE = 1 / 3;

/**
 * Factor on the largest delay while this proxy has only a list that may be stale. It has
 * just started, like all others perhaps, and need not be up to date yet.
 */
const START_DELAY_FACTOR = 3;

/**
 * Least time for delays, as a share of the read interval. An interval that is set by hand
 * may be longer than the list may be used.
 */
const MIN_DELAY_SHARE = 0.5;

/** Gets the time after the read interval at which the last proxy reads. */
function getMaxDelayMs({maxListAgeMs, readIntervalMs}: MeshSettings): number {
  return Math.max(
    readIntervalMs * MIN_DELAY_SHARE,
    maxListAgeMs - readIntervalMs,
  );
}

function getRankDelayMs(settings: MeshSettings): number {
  return Math.min(
    MAX_RANK_DELAY_MS,
    getMaxDelayMs(settings) * RANK_DELAY_SHARE,
  );
}

/**
 * Reports whether a reading comes late enough for the delay of a rank: a proxy that
 * ranks first did not read.
 * @param ageMs - Age of what is known, in milliseconds.
 */
export function isInPlaceOfOthers(
  settings: MeshSettings,
  ageMs: number,
): boolean {
  return (
    Number.isFinite(ageMs) &&
    ageMs >= settings.readIntervalMs + getRankDelayMs(settings)
  );
}

/**
 * Records a reading of the fleet.
 * @param ageMs - Age of what was known until now, in milliseconds.
 */
export function recordReading(state: MeshState, ageMs: number): void {
  const {sourceReads, settings} = state;
  sourceReads.standsIn =
    isInPlaceOfOthers(settings, ageMs) ||
    (sourceReads.standsIn && isLatestReader(state));
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
    return FIRST_DRAWN_RANK;
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
  return Math.min(rank, FIRST_DRAWN_RANK);
}

/** Gets the delay after the read interval, in milliseconds. */
function getDelayMs(state: MeshState): number {
  const {settings, sourceReads} = state;
  const rank = getReaderRank(state);
  const rankedMs = rank * getRankDelayMs(settings);
  if (rank < FIRST_DRAWN_RANK) {
    return rankedMs;
  }
  const isStarting = !Number.isFinite(sourceReads.freshAt);
  const maxMs = getMaxDelayMs(settings) * (isStarting ? START_DELAY_FACTOR : 1);
  return rankedMs + drawDelayMs(state, maxMs - rankedMs);
}

/**
 * Draws a delay whose density grows exponentially up to its bound, the faster the
 * larger the fleet: whatever its size, about equally few proxies read before the
 * update of the first one has arrived. The draw stays the same until the next list.
 * @param boundMs - Largest delay, in milliseconds.
 */
function drawDelayMs({settings, fleet}: MeshState, boundMs: number): number {
  const growth = 1 + Math.log(Math.max(1, fleet.instances.size));
  const fraction = getHashFraction(`${fleet.revision}`, settings.address);
  return (boundMs * Math.log1p(fraction * Math.expm1(growth))) / growth;
}

/**
 * Reports whether a read of the fleet is due.
 * @param state - This proxy's state.
 * @param at - Now, in milliseconds.
 */
export function isReadDue(state: MeshState, at: number): boolean {
  const {sourceReads, settings} = state;
  // A listing that may be stale is to be replaced soon, but not by all proxies of a
  // fleet that has just started: it restarts the delays, without the interval.
  const knowsPeers = state.fleet.instances.size > 0;
  const listedAt =
    sourceReads.staleListedAt - (knowsPeers ? settings.readIntervalMs : 0);
  const ageMs = at - Math.max(sourceReads.freshAt, listedAt);
  // Checked first because the rank takes a pass over the whole fleet.
  if (
    sourceReads.fleetReadStartedAt !== undefined ||
    at < sourceReads.notBefore ||
    ageMs < settings.readIntervalMs
  ) {
    return false;
  }
  return ageMs >= settings.readIntervalMs + getDelayMs(state);
}
