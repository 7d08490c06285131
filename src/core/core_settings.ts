/** The settings that decisions depend on, as plain data. */
import {Settings} from '../model/settings.js';
import {DEFAULT_POLICY, Policy} from './policy.js';

export interface CoreSettings {
  /** Name of the upstream beside this proxy. */
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly peerAddress: string;
  /** Start of the process, in Unix milliseconds. */
  readonly startedAt: number;
  readonly seeds: readonly string[];
  readonly dissemination: Settings['dissemination'];
  readonly limits: Settings['limits'];
  readonly policy: Policy;
}

/**
 * Takes what the core needs from a proxy's settings.
 * @param settings - The checked settings.
 * @param peerAddress - Where peers reach this proxy.
 * @param startedAt - Start of the process, in Unix milliseconds.
 * @param policy - Choices under load and faults.
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
