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

export interface CrashSuspects {
  readonly byFingerprint: Map<string, SuspectInfo>;
}

export function createCrashSuspects(): CrashSuspects {
  return {byFingerprint: new Map()};
}

/**
 * Notes that an upstream's connection broke while it ran a request.
 * @param suspects - This part's state.
 * @param fingerprint - The request.
 * @param crash - Names the crash: the upstream and when it started.
 * @param expiresAt - When the suspicion ends, in Unix milliseconds.
 * @param emit - Takes counters and log lines.
 */
export function noteCrash(
  suspects: CrashSuspects,
  fingerprint: string,
  crash: string,
  expiresAt: number,
  emit: Emit,
): void {
  const known = suspects.byFingerprint.get(fingerprint);
  const earlier = known?.cleared === true ? [] : (known?.crashedAt ?? []);
  const crashedAt = earlier.includes(crash) ? earlier : [...earlier, crash];
  const info = {fingerprint, crashedAt, cleared: false, expiresAt};
  store(suspects, info);
  emit({kind: 'count', counter: 'crash_suspected', reason: 'running'});
  if (crashedAt.length === CRASHES_TO_QUARANTINE) {
    emit({kind: 'count', counter: 'crash_suspected', reason: 'quarantined'});
    emit({
      kind: 'log',
      level: 'error',
      part: 'crash',
      message: `Quarantined request ${fingerprint} after crashes at ${crashedAt.join(', ')}.`,
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
  store(suspects, {...known, cleared: true});
  emit({kind: 'count', counter: 'crash_suspected', reason: 'cleared'});
}

/**
 * Takes in what a peer says of a suspect.
 * @param suspects - This part's state.
 * @param info - The peer's record.
 */
export function mergeSuspect(suspects: CrashSuspects, info: SuspectInfo): void {
  const known = suspects.byFingerprint.get(info.fingerprint);
  if (known === undefined) {
    store(suspects, info);
    return;
  }
  const crashedAt = [...new Set([...known.crashedAt, ...info.crashedAt])];
  const grew = crashedAt.length > known.crashedAt.length;
  const cleared = known.cleared || info.cleared;
  if (!grew && cleared === known.cleared) {
    return;
  }
  const expiresAt = Math.max(known.expiresAt, info.expiresAt);
  store(suspects, {...known, crashedAt, cleared, expiresAt});
}

/** Keeps the newest at the end, and the number bounded. */
function store(suspects: CrashSuspects, info: SuspectInfo): void {
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
  return (
    known !== undefined &&
    !known.cleared &&
    known.expiresAt > at &&
    known.crashedAt.length >= CRASHES_TO_QUARANTINE
  );
}

/**
 * Picks the records that a gossip message carries.
 * @param suspects - This part's state.
 * @returns The newest records.
 */
export function getSuspectNews(suspects: CrashSuspects): SuspectInfo[] {
  return [...suspects.byFingerprint.values()].slice(-SUSPECTS_PER_MESSAGE);
}

export function expireSuspects(suspects: CrashSuspects, at: number): void {
  for (const [fingerprint, info] of suspects.byFingerprint) {
    if (info.expiresAt <= at) {
      suspects.byFingerprint.delete(fingerprint);
    }
  }
}
