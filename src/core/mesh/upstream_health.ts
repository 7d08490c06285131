/**
 * Health of the upstream beside an owner, derived from connections and answers.
 * No health endpoint is polled: a request to it would occupy a slot, and its
 * answer can be misleading.
 */

import {Refusal} from '../refusals.js';
import {Answer} from '../types.js';

/** Interval of connection attempts to an upstream that is down. */
export const PROBE_INTERVAL_MS = 250;

/** Runs that ended at most this long before a crash was detected are suspects. */
const CRASH_WINDOW_MS = 500;

/**
 * Time from a probe that succeeded to the next one. A process that ends may close the
 * connection of a run before its other sockets.
 */
const RECHECK_AFTER_MS = 100;

/** A run that ended without a whole answer of the upstream. */
export interface LostRun {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly suspect: boolean;
  readonly lostAt: number;
}

/** A run whose connection the upstream ended. */
export interface BrokenRun extends LostRun {
  /** How it ends if the upstream has not crashed; undefined: it has ended. */
  result?: Answer | Refusal;
}

export interface UpstreamHealth {
  /** It refused a connection and has accepted none since. */
  down: boolean;
  probing: boolean;
  probedAt: number;
  /** Runs that the upstream broke, until it is known whether it crashed. */
  broken: BrokenRun[];
  /** Runs that this proxy gave up, which the upstream may go on with for a while. */
  abandoned: LostRun[];
  /** When the upstream is probed once more; undefined: nothing makes it necessary. */
  recheckAt?: number;
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
    broken: [],
    abandoned: [],
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

/** Records a run that this proxy gave up. */
export function recordAbandonedRun(health: UpstreamHealth, run: LostRun): void {
  const {lostAt: at} = run;
  health.abandoned = [...health.abandoned.filter(r => isRecent(r, at)), run];
}

/**
 * Schedules another probe after one that succeeded, unless this was the second one:
 * then the upstream has broken runs without a crash.
 */
export function scheduleRecheck(health: UpstreamHealth, at: number): void {
  const wasRecheck = health.recheckAt !== undefined;
  if (wasRecheck) {
    forgetBrokenRuns(health, at);
  } else if (health.broken.length > 0) {
    health.recheckAt = at + RECHECK_AFTER_MS;
  }
}

/**
 * Forgets the broken runs before a time at which the upstream was running, as far as
 * they have ended.
 */
export function forgetBrokenRuns(
  health: UpstreamHealth,
  aliveAt: number,
): void {
  health.broken = health.broken.filter(
    ({lostAt, result}) => result !== undefined || lostAt >= aliveAt,
  );
  if (health.broken.length === 0) {
    health.recheckAt = undefined;
  }
}

/**
 * Clears the runs that ended without an answer.
 * @returns Those that may have caused a crash. Without a run that the upstream broke,
 *     there are none: it has ended by itself.
 */
export function clearLostRuns(health: UpstreamHealth, at: number): LostRun[] {
  const broken = health.broken.filter(run => isRecent(run, at));
  const abandoned = health.abandoned.filter(run => isRecent(run, at));
  health.broken = [];
  health.abandoned = [];
  health.recheckAt = undefined;
  return broken.length === 0 ? [] : [...broken, ...abandoned];
}

function isRecent({lostAt}: LostRun, at: number): boolean {
  return at - lostAt <= CRASH_WINDOW_MS;
}
