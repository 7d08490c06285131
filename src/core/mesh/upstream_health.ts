/**
 * What an owner knows of its upstream from connections and answers. A health
 * endpoint would take a slot and may mislead, so it is not asked.
 */

/** Pause between two connection attempts to an upstream that is down. */
const PROBE_INTERVAL_MS = 250;

/** Runs that were cut this recently may have caused the crash. */
const CRASH_WINDOW_MS = 500;

export interface LostRun {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly suspect: boolean;
  readonly lostAt: number;
}

export interface UpstreamHealth {
  /** It refused a connection, and accepted none since. */
  down: boolean;
  probing: boolean;
  probedAt: number;
  /** Runs cut by a reset, until a probe tells whether it crashed. */
  lost: LostRun[];
  crashCount: number;
  /** The upstream's process as it is registered. */
  registeredId?: string;
  /** It was registered and no longer is, so nothing may reach it. */
  deregisteredId?: string;
  /** It answered for another instance than this one. */
  replacedId?: string;
  /** When it last answered. */
  answeredAt: number;
}

export function createUpstreamHealth(): UpstreamHealth {
  return {
    down: false,
    probing: false,
    probedAt: -Infinity,
    lost: [],
    crashCount: 0,
    answeredAt: 0,
  };
}

/** Tells whether a connection attempt is due; it is then under way. */
export function tryStartProbe(
  health: UpstreamHealth,
  at: number,
  immediate: boolean,
): boolean {
  const due = immediate || at - health.probedAt >= PROBE_INTERVAL_MS;
  if (health.probing || !due) {
    return false;
  }
  health.probing = true;
  health.probedAt = at;
  return true;
}

/** Takes the runs that were cut by the crash that was just found. */
export function clearLostRuns(health: UpstreamHealth, at: number): LostRun[] {
  const lost = health.lost.filter(run => at - run.lostAt <= CRASH_WINDOW_MS);
  health.lost = [];
  return lost;
}
