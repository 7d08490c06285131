/**
 * Finds requests that crash the upstreams that run them, by what was running
 * at each crash, and quarantines them on every proxy that hears of it.
 */
import {SuspectInfo} from '../../model/peer.js';
import {Emit} from '../types.js';

/** Crashes after which a request is refused everywhere. */
export const CRASHES_TO_QUARANTINE = 2;

const SUSPECTS_PER_MESSAGE = 8;
const MAX_SUSPECTS = 1_000;

/** Suspects that one crash can have at most, as far as peers are told. */
const MAX_PUSHED_SUSPECTS = 64;

export interface CrashSuspects {
  readonly byFingerprint: Map<string, SuspectInfo>;
  /** A crash has not been told to the other owners of the service yet. */
  pushDue: boolean;
}

export function createCrashSuspects(): CrashSuspects {
  return {byFingerprint: new Map(), pushDue: false};
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
  suspects.pushDue = true;
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
 * @returns The newest records, those with the most crashes first.
 */
export function getSuspectNews(suspects: CrashSuspects): SuspectInfo[] {
  return rankSuspects(suspects).slice(0, SUSPECTS_PER_MESSAGE);
}

/**
 * Takes the records that must reach the other owners before the request that
 * caused a crash does.
 * @param suspects - This part's state.
 * @returns The records, none where no crash has been seen since.
 */
export function takeUrgentSuspects(suspects: CrashSuspects): SuspectInfo[] {
  if (!suspects.pushDue) {
    return [];
  }
  suspects.pushDue = false;
  return rankSuspects(suspects)
    .filter(({cleared}) => !cleared)
    .slice(0, MAX_PUSHED_SUSPECTS);
}

function rankSuspects(suspects: CrashSuspects): SuspectInfo[] {
  const weight = ({cleared, crashedAt}: SuspectInfo) =>
    cleared ? 0 : crashedAt.length;
  const newestFirst = [...suspects.byFingerprint.values()].reverse();
  return newestFirst.sort((a, b) => weight(b) - weight(a));
}

export function expireSuspects(suspects: CrashSuspects, at: number): void {
  for (const [fingerprint, info] of suspects.byFingerprint) {
    if (info.expiresAt <= at) {
      suspects.byFingerprint.delete(fingerprint);
    }
  }
}
