/**
 * How current the configuration of this proxy is. The age of the list of upstreams
 * says nothing about it: both are read separately.
 */
import {MeshState} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';

/** Upper bound of the ages in messages, because JSON has no infinity. */
export const MAX_SENT_AGE_MS = 1e9;

/**
 * Age above which a configuration counts as unconfirmed, in milliseconds. A long
 * poll of a second that finds nothing confirms what was in force when it began, and
 * peers are told with the next reading of the list.
 */
const UNCONFIRMED_AFTER_MS = 3_200;

/**
 * Time from the adoption of a version until two peers are told of it. Its regular
 * update has arrived by then wherever it can, so hardly anybody asks for it twice.
 */
export const ANNOUNCE_DELAY_MS = 250;

export interface ConfigFreshness {
  /** Latest time at which the source had no later version than this proxy. */
  confirmedAt: number;
  /** When the source delivered the version in force to the first proxy. */
  versionReadAt: number;
  /**
   * When two peers are told of the version in force and of evacuated zones;
   * undefined: they were.
   */
  announceAt?: number;
  /** Since when the configuration counts as unconfirmed. */
  unconfirmedSince?: number;
}

export function createConfigFreshness(): ConfigFreshness {
  return {confirmedAt: -Infinity, versionReadAt: -Infinity};
}

/** What a message tells of the sender's configuration, in milliseconds. */
export interface ConfigAges {
  /** Time since the sender's version was known to be the latest. */
  readonly configAgeMs: number;
  /** Time since the source delivered that version. */
  readonly versionAgeMs: number;
}

/** Gets an age for messages to peers, in whole milliseconds. */
export function getBoundedAgeMs(at: number, since: number): number {
  return Math.round(Math.max(0, Math.min(at - since, MAX_SENT_AGE_MS)));
}

/** Gets the ages of this proxy's configuration, for messages to peers. */
export function getConfigAges(state: MeshState, at: number): ConfigAges {
  const {confirmedAt, versionReadAt} = state.configFreshness;
  return {
    configAgeMs: getBoundedAgeMs(at, confirmedAt),
    versionAgeMs: getBoundedAgeMs(at, versionReadAt),
  };
}

/**
 * Records that a version was the latest at the source. Confirms nothing where this
 * proxy still has an earlier one.
 */
export function confirmVersion(
  state: MeshState,
  version: number,
  confirmedAt: number,
): void {
  const freshness = state.configFreshness;
  if ((state.config?.version ?? 0) >= version) {
    freshness.confirmedAt = Math.max(freshness.confirmedAt, confirmedAt);
  }
}

/** Logs when the configuration becomes unconfirmed, and when this ends. */
export function logUnconfirmedConfig(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {configFreshness, sourceReads, config} = state;
  const {unconfirmedSince, confirmedAt} = configFreshness;
  const isUnconfirmed = at - confirmedAt > UNCONFIRMED_AFTER_MS;
  if (
    config === undefined ||
    isUnconfirmed === (unconfirmedSince !== undefined)
  ) {
    return;
  }
  configFreshness.unconfirmedSince = isUnconfirmed ? at : undefined;
  const waitedMs = sourceReads.configReadPending
    ? Math.round(at - sourceReads.configReadStartedAt)
    : undefined;
  emit({
    kind: 'log',
    level: isUnconfirmed ? 'warn' : 'info',
    part: 'config',
    message: isUnconfirmed
      ? 'Configuration is not confirmed to be the latest.'
      : 'Configuration is confirmed again.',
    fields: {
      version: config.version,
      ageMs: Math.round(at - confirmedAt),
      listAgeMs: Math.round(at - sourceReads.freshAt),
      waitedMs,
      lostMs:
        unconfirmedSince === undefined
          ? undefined
          : Math.round(at - unconfirmedSince),
    },
  });
}
