/** Calls that an entry has accepted and not yet answered. */
import {MeshRoute} from '../../model/mesh.js';
import {Refusal} from '../refusals.js';
import {MeshCallInfo} from './mesh_types.js';

export interface SentAttempt {
  readonly attemptId: string;
  readonly instanceId: string;
  /** The owner's link address, or undefined for this proxy's own. */
  readonly to?: string;
  readonly sentAt: number;
}

export interface MeshCall {
  readonly callId: string;
  readonly info: MeshCallInfo;
  readonly route: MeshRoute;
  /** The one of the route's services that was drawn for it. */
  readonly service: string;
  readonly version: number;
  /** Made by a run of the upstream beside this proxy. */
  readonly nested: boolean;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Instances that are not to be asked again. */
  readonly tried: Set<string>;
  readonly inFlight: Map<string, SentAttempt>;
  /** Owners that were asked. */
  asked: number;
  /** Upstreams that received it, whether or not they ran it. */
  reached: number;
  mayHaveRun: boolean;
  lastRefusal?: Refusal;
}
