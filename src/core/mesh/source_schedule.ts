/**
 * Decides when this proxy reads the source. Proxies do not elect a reader:
 * each waits for as long as its rank says since it last heard, from the
 * source or a peer, how things stand there. So the first of the ranking reads
 * and tells the others; where it is turned away or gone, the next one's wait
 * ends a moment later.
 */
import {MeshState, getLinkAddress, getOwnInstance} from './mesh_state.js';

/** Wait that each rank adds; covers a read and the news of it. */
const RANK_STEP_MS = 250;

/** Ranks beyond this one wait alike, with a random part. */
const LAST_RANK = 5;
const LATE_SPREAD_MS = 600;

const BACKOFF_BASE_MS = 400;
const BACKOFF_MAX_MS = 2_000;

/**
 * Time for which a configuration is waited for, in milliseconds. A wait that
 * is cut without notice ends soon after.
 */
export const CONFIG_WAIT_MS = 1_000;

/**
 * Age from which an answer without news is believed: the source may deliver
 * nothing for a second while changes are made.
 */
const CERTAIN_AFTER_MS = 2_500;

/** A revision at which the source had no later version to tell. */
interface ConfigMark {
  readonly at: number;
  readonly revision: number;
}

export interface SourceSchedule {
  /** When what is known was last true at the source, in milliseconds. */
  freshAt: number;
  /** When this proxy itself last read the source. */
  readAt: number;
  reading: boolean;
  failures: number;
  /** No read before this time, after a failure. */
  notBefore: number;
  /** Revision up to which no version can have been missed; 0: none known. */
  configRevision: number;
  /** Later revisions, not yet old enough to be certain. */
  marks: ConfigMark[];
  /** A read of the configuration, or a wait for the next, is under way. */
  awaitingConfig: boolean;
  /** When the wait for the next version began. */
  configAskedAt: number;
  /** No read of the configuration before this time. */
  configNotBefore: number;
  /** When the fleet was first known. */
  firstListedAt?: number;
  /** Counts the news that were told. */
  turn: number;
  /** Since when the source has not answered this proxy. */
  lostAt?: number;
}

export function createSourceSchedule(): SourceSchedule {
  return {
    freshAt: -Infinity,
    readAt: -Infinity,
    reading: false,
    failures: 0,
    notBefore: 0,
    configRevision: 0,
    marks: [],
    awaitingConfig: false,
    configAskedAt: -Infinity,
    configNotBefore: 0,
    turn: 0,
  };
}

/** Notes a revision at which there was no later version. */
export function noteConfigMark(
  schedule: SourceSchedule,
  revision: number,
  at: number,
): void {
  schedule.marks.push({at, revision});
  while (
    schedule.marks.length > 0 &&
    at - schedule.marks[0].at >= CERTAIN_AFTER_MS
  ) {
    const [mark] = schedule.marks.splice(0, 1);
    schedule.configRevision = Math.max(schedule.configRevision, mark.revision);
  }
}

/** Oldest first: long-lived proxies change least. */
function getRank(state: MeshState): number {
  const own = getOwnInstance(state);
  if (own === undefined || state.stopRequestedAt !== undefined) {
    return LAST_RANK;
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
  return Math.min(rank, LAST_RANK);
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
  const {schedule, settings} = state;
  if (schedule.reading || at < schedule.notBefore) {
    return false;
  }
  const rank = getRank(state);
  const spread = rank < LAST_RANK ? 0 : (entropy / 2 ** 32) * LATE_SPREAD_MS;
  const waitMs = settings.readIntervalMs + rank * RANK_STEP_MS + spread;
  return at - schedule.freshAt >= waitMs;
}

/**
 * Notes a failed read: the next one waits longer, by a random part of a span
 * that doubles.
 */
export function noteReadFailed(
  schedule: SourceSchedule,
  at: number,
  entropy: number,
): void {
  schedule.reading = false;
  schedule.failures += 1;
  schedule.lostAt ??= at;
  const doubled = BACKOFF_BASE_MS * 2 ** Math.min(schedule.failures, 8);
  const spanMs = Math.min(BACKOFF_MAX_MS, doubled);
  schedule.notBefore = at + spanMs * (0.5 + entropy / 2 ** 33);
}

export function noteReadAnswered(schedule: SourceSchedule, at: number): void {
  schedule.reading = false;
  schedule.failures = 0;
  schedule.notBefore = 0;
  schedule.lostAt = undefined;
  schedule.freshAt = at;
  schedule.readAt = at;
}
