/**
 * Detects requests that crash the upstreams that run them, from the requests
 * that were running at each crash, and quarantines them. The records spread by
 * gossip, so that all proxies refuse a quarantined request.
 */
import {SuspectInfo} from '../../model/peer.js';
import {Emit} from '../types.js';

/** Number of crashes after which a request is refused by all proxies. */
const CRASHES_TO_QUARANTINE = 2;

const SUSPECTS_PER_MESSAGE = 8;
const MAX_SUSPECTS = 1_000;

/** Maximum number of crashes recorded for one request. */
const MAX_CRASHES = 16;

export interface CrashSuspects {
  readonly byFingerprint: Map<string, SuspectInfo>;
}

export function createCrashSuspects(): CrashSuspects {
  return {byFingerprint: new Map()};
}

/** A crash that interrupted a request. */
export interface CrashEvidence {
  /** Identifies the crash: upstream, start time of its proxy and a count. */
  readonly crash: string;
  /** The request ran as a suspect, so no other suspect ran at the same time. */
  readonly isOnlySuspect: boolean;
  /** When the suspicion ends, in Unix milliseconds. */
  readonly expiresAt: number;
}

/**
 * Records that an upstream's connection broke while it ran a request.
 * @param suspects - The known suspects.
 * @param fingerprint - The request's fingerprint.
 * @param evidence - The crash.
 * @param emit - Receives counters and log records.
 */
export function recordCrash(
  suspects: CrashSuspects,
  fingerprint: string,
  evidence: CrashEvidence,
  emit: Emit,
): void {
  const {crash, isOnlySuspect, expiresAt} = evidence;
  const wasProven = isProvenCause(suspects.byFingerprint.get(fingerprint));
  mergeSuspect(suspects, {
    fingerprint,
    crashedAt: [crash],
    soleAt: isOnlySuspect ? [crash] : [],
    clearedAt: [],
    cleared: false,
    expiresAt,
  });
  emit({kind: 'count', counter: 'crash_suspected', reason: 'running'});
  const known = suspects.byFingerprint.get(fingerprint);
  if (!wasProven && isProvenCause(known)) {
    emit({kind: 'count', counter: 'crash_suspected', reason: 'quarantined'});
    emit({
      kind: 'log',
      level: 'error',
      part: 'crash',
      message: `Quarantined request ${fingerprint} after crashes ${known?.crashedAt.join(', ')}; correct the request before sending it again.`,
    });
  }
}

/**
 * Clears the suspicion of a request that ran to completion.
 * @param suspects - The known suspects.
 * @param fingerprint - The request's fingerprint.
 * @param emit - Receives counters.
 */
export function clearSuspect(
  suspects: CrashSuspects,
  fingerprint: string,
  emit: Emit,
): void {
  const known = suspects.byFingerprint.get(fingerprint);
  if (known === undefined || known.cleared) {
    return;
  }
  storeSuspect(suspects, {...known, clearedAt: known.crashedAt, cleared: true});
  emit({kind: 'count', counter: 'crash_suspected', reason: 'cleared'});
}

/**
 * Merges a peer's record of a suspect. The lists only grow, so the result does
 * not depend on the order in which records arrive.
 * @param suspects - The known suspects.
 * @param info - The peer's record.
 */
export function mergeSuspect(suspects: CrashSuspects, info: SuspectInfo): void {
  const known = suspects.byFingerprint.get(info.fingerprint);
  if (known === undefined) {
    storeSuspect(suspects, info);
    return;
  }
  const crashedAt = mergeCrashes(known.crashedAt, info.crashedAt);
  const soleAt = mergeCrashes(known.soleAt, info.soleAt);
  const clearedAt = mergeCrashes(known.clearedAt, info.clearedAt);
  const hasChanged =
    crashedAt.length > known.crashedAt.length ||
    soleAt.length > known.soleAt.length ||
    clearedAt.length > known.clearedAt.length;
  if (!hasChanged) {
    return;
  }
  const cleared = crashedAt.every(crash => clearedAt.includes(crash));
  const expiresAt = Math.max(known.expiresAt, info.expiresAt);
  storeSuspect(suspects, {
    ...known,
    crashedAt,
    soleAt,
    clearedAt,
    cleared,
    expiresAt,
  });
}

function mergeCrashes(a: readonly string[], b: readonly string[]): string[] {
  return [...new Set([...a, ...b])].slice(-MAX_CRASHES);
}

/**
 * Reports whether a request is proven to crash upstreams. Two crashes are not
 * enough, because an innocent request may have run next to the cause each time.
 * In at least one of them, the request must have been the only running suspect.
 */
function isProvenCause(info: SuspectInfo | undefined): boolean {
  if (info === undefined) {
    return false;
  }
  const {crashedAt, soleAt, clearedAt} = info;
  const uncleared = crashedAt.filter(crash => !clearedAt.includes(crash));
  return (
    uncleared.length >= CRASHES_TO_QUARANTINE &&
    uncleared.some(crash => soleAt.includes(crash))
  );
}

/** Stores a record as the newest one; drops the oldest of too many records. */
function storeSuspect(suspects: CrashSuspects, info: SuspectInfo): void {
  suspects.byFingerprint.delete(info.fingerprint);
  suspects.byFingerprint.set(info.fingerprint, info);
  if (suspects.byFingerprint.size > MAX_SUSPECTS) {
    const [oldest] = suspects.byFingerprint.keys();
    suspects.byFingerprint.delete(oldest);
  }
}

export function isSuspect(
  suspects: CrashSuspects,
  fingerprint: string,
): boolean {
  const known = suspects.byFingerprint.get(fingerprint);
  return known !== undefined && !known.cleared;
}

export function isQuarantined(
  suspects: CrashSuspects,
  fingerprint: string,
  at: number,
): boolean {
  const known = suspects.byFingerprint.get(fingerprint);
  return known !== undefined && known.expiresAt > at && isProvenCause(known);
}

/**
 * Gets the records that a gossip message carries.
 * @param suspects - The known suspects.
 * @returns The newest records.
 */
export function getNewestSuspects(suspects: CrashSuspects): SuspectInfo[] {
  return [...suspects.byFingerprint.values()].slice(-SUSPECTS_PER_MESSAGE);
}

export function expireSuspects(suspects: CrashSuspects, at: number): void {
  for (const [fingerprint, info] of suspects.byFingerprint) {
    if (info.expiresAt <= at) {
      suspects.byFingerprint.delete(fingerprint);
    }
  }
}
