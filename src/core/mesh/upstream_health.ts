/**
 * Health of the upstream beside an owner, derived from connections and answers.
 * No health endpoint is polled: a request to it would occupy a slot, and its
 * answer can be misleading.
 */

/** Interval of connection attempts to an upstream that is down. */
export const PROBE_INTERVAL_MS = 250;

/** Runs reset at most this long before a crash was detected are suspects. */
const CRASH_WINDOW_MS = 500;

/** A run whose connection was reset. */
export interface LostRun {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly suspect: boolean;
  readonly lostAt: number;
}

export interface UpstreamHealth {
  /** It refused a connection and has accepted none since. */
  down: boolean;
  probing: boolean;
  probedAt: number;
  /** Reset runs, until a probe shows whether the upstream crashed. */
  lost: LostRun[];
  crashCount: number;
  /** Identifier of the instance registered at the upstream's address. */
  registeredId?: string;
  /** Incarnation of that instance. */
  registeredIncarnation?: number;
  /** The limit of the last log record about the upstream's request rate. */
  loggedLimit?: number;
  /** Identifier of an instance that lost its registration and gets no work. */
  deregisteredId?: string;
  /** Identifier of an instance in whose place another one answered. */
  replacedId?: string;
  /** Time of the last answer. */
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

/**
 * Starts a probe if one is due.
 * @param health - The upstream's health.
 * @param at - Now, in milliseconds.
 * @param immediate - Do not wait for the end of the probe interval.
 * @returns Whether the caller must make a connection attempt.
 */
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

/** Clears the reset runs and returns those that may have caused a crash. */
export function clearLostRuns(health: UpstreamHealth, at: number): LostRun[] {
  const lost = health.lost.filter(run => at - run.lostAt <= CRASH_WINDOW_MS);
  health.lost = [];
  return lost;
}
