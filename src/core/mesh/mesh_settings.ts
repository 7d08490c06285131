/** Settings of the core of a proxy whose upstreams register themselves. */
import {Policy} from '../policy.js';

/** Identity, intervals and limits of one proxy. */
export interface MeshSettings {
  /** Address for links, which identifies this proxy to its peers. */
  readonly address: string;
  readonly zone: string;
  /** Start of the process, in Unix milliseconds. */
  readonly startedAt: number;
  /** Service of the upstream beside this proxy. */
  readonly service: string;
  readonly upstreamAddress: string;
  /** Port on which every proxy of the fleet listens for links. */
  readonly linkPort: number;
  /** Interval at which upstreams report to the source, in milliseconds. */
  readonly heartbeatMs: number;
  /** Retries that the whole fleet may make to a service, as a share of calls. */
  readonly retryShare: number;
  /** Further retries that the whole fleet may make to a service per window. */
  readonly retryExtra: number;
  readonly retryWindowMs: number;
  /** Bound on requests to a cold upstream in one second; undefined: none. */
  readonly coldLimit?: {readonly excess: number; readonly slack: number};
  /** Demand is above the slots at times; see `MeshSettingsSchema`. */
  readonly scarceSlots: boolean;
  /** Time from the signal of a planned stop to the end of the process. */
  readonly graceMs: number;
  /** Bandwidth of this VM's connection to the network. */
  readonly linkMbps: number;
  /** Interval of the reads of the fleet while the source answers. */
  readonly readIntervalMs: number;
  /**
   * Age of the list of upstreams, in milliseconds, at which this proxy reads it itself,
   * however many others were to read it before.
   */
  readonly maxListAgeMs: number;
  /** Time for which requests that crash upstreams are refused. */
  readonly quarantineMs: number;
  readonly policy: Pick<Policy, 'chooser'>;
}
