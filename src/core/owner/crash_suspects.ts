/**
 * Finds requests that crash the upstreams that run them, by what was running
 * at each crash, and quarantines them on every proxy that hears of it.
 */
import {SuspectInfo} from '../../model/peer.js';
import {Emit} from '../types.js';

/** Crashes after which a request is refused everywhere. */
const CRASHES_TO_QUARANTINE = 2;

const SUSPECTS_PER_MESSAGE = 8;
const MAX_SUSPECTS = 1_000;

/** Crashes that are remembered of one request. */
const MAX_CRASHES = 16;

export interface CrashSuspects {
  readonly byFingerprint: Map<string, SuspectInfo>;
}

export function createCrashSuspects(): CrashSuspects {
  return {byFingerprint: new Map()};
}

/** One crash that cut a request off. */
export interface CrashEvidence {
  /** Names the crash: the upstream, its proxy's start and a count. */
  readonly crash: string;
  /** The request ran as a suspect, so no other suspect ran beside it. */
  readonly sole: boolean;
  /** When the suspicion ends, in Unix milliseconds. */
  readonly expiresAt: number;
}

/**
 * Notes that an upstream's connection broke while it ran a request.
 * @param suspects - This part's state.
 * @param fingerprint - The request.
 * @param evidence - The crash.
 * @param emit - Takes counters and log lines.
 */
export function recordCrash(
  suspects: CrashSuspects,
  fingerprint: string,
  evidence: CrashEvidence,
  emit: Emit,
): void {
  const {crash, sole, expiresAt} = evidence;
  const wasProven = isProvenCause(suspects.byFingerprint.get(fingerprint));
  mergeSuspect(suspects, {
    fingerprint,
    crashedAt: [crash],
    soleAt: sole ? [crash] : [],
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
      message: `Quarantined request ${fingerprint} after crashes at ${known?.crashedAt.join(', ')}.`,
    });
  }
}

/**
 * Clears a request that ran to its end.
 * @param suspects - This part's state.
 * @param fingerprint - The request.
 * @param emit - Takes counters.
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
 * Takes in what a peer says of a suspect. The lists only grow, so the order
 * in which news arrives does not matter.
 * @param suspects - This part's state.
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
 * Tells whether a request is proved to crash upstreams. Two crashes alone are
 * no proof: a bystander may have shared both with the culprit. At one of them
 * it must have been the only suspect that ran.
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

/** Keeps the newest at the end, and the number bounded. */
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
 * Picks the records that a gossip message carries.
 * @param suspects - This part's state.
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
