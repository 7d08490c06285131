/** The settings that decisions depend on, and the figures behind them. */
import {Policy} from '../policy.js';

/** What one proxy knows of itself and of the bounds it must keep. */
export interface MeshSettings {
  /** Where peers reach this proxy. */
  readonly address: string;
  readonly zone: string;
  /** Start of the process, in Unix milliseconds. */
  readonly startedAt: number;
  /** Service of the upstream beside this proxy. */
  readonly service: string;
  readonly upstreamAddress: string;
  /** Port on which every proxy of the fleet takes links. */
  readonly linkPort: number;
  /** Interval at which upstreams report to the source, in milliseconds. */
  readonly heartbeatMs: number;
  /** Retries allowed for a service by the whole fleet, as a share of calls. */
  readonly retryShare: number;
  /** Retries allowed beside that in one window, by the whole fleet. */
  readonly retryExtra: number;
  readonly retryWindowMs: number;
  /** Time from a planned stop's signal to the end of the process. */
  readonly graceMs: number;
  /** Time between two reads of the source while it answers. */
  readonly readIntervalMs: number;
  readonly quarantineMs: number;
  readonly policy: Pick<Policy, 'chooser'>;
}
