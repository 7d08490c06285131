/** The settings that the core's decisions depend on, as plain data. */
import {Settings} from '../model/settings.js';
import {DEFAULT_POLICY, Policy} from './policy.js';

export interface CoreSettings {
  /** Identifier of this proxy's own upstream. */
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly peerAddress: string;
  /** Start time of the process, in Unix milliseconds. */
  readonly startedAt: number;
  readonly seeds: readonly string[];
  readonly dissemination: Settings['dissemination'];
  readonly limits: Settings['limits'];
  readonly policy: Policy;
}

/**
 * Selects the settings that the core needs.
 * @param settings - The validated settings.
 * @param peerAddress - Address at which peers reach this proxy.
 * @param startedAt - Start time of the process, in Unix milliseconds.
 * @param policy - The policy under load and faults.
 * @returns The core's settings.
 */
export function createCoreSettings(
  settings: Settings,
  peerAddress: string,
  startedAt: number,
  policy: Policy = DEFAULT_POLICY,
): CoreSettings {
  const {upstreamId: id, zone, region, seeds, dissemination, limits} = settings;
  return {
    id,
    zone,
    region,
    peerAddress,
    startedAt,
    seeds,
    dissemination,
    limits,
    policy,
  };
}
