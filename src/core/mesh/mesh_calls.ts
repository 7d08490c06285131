/** Unanswered calls of an entry and their attempts. */
import {MeshRoute} from '../../model/mesh.js';
import {Refusal} from '../refusals.js';
import {MeshCallInfo} from './mesh_types.js';

/** An attempt whose result is awaited. */
export interface SentAttempt {
  readonly attemptId: string;
  readonly instanceId: string;
  /** Link address of the owner; undefined: this proxy is the owner. */
  readonly to?: string;
  readonly sentAt: number;
}

/** A call that has been accepted and not answered. */
export interface MeshCall {
  readonly callId: string;
  readonly info: MeshCallInfo;
  readonly route: MeshRoute;
  /** The back end that was chosen among those of the route. */
  readonly service: string;
  /** Version of the configuration under which it was accepted. */
  readonly version: number;
  /** A request that runs at the upstream beside this proxy made the call. */
  readonly nested: boolean;
  /** That run repeats an earlier one, so the call counts as a retry. */
  readonly repeated: boolean;
  readonly arrivedAt: number;
  /** Time for which the request lay unread, at least, in milliseconds. */
  readonly unreadMs: number;
  /** Until then, counted from the caller's first try, an answer is in time. */
  readonly aimAt: number;
  readonly deadlineAt: number;
  /** Instances to which attempts were sent; none gets a second one. */
  readonly tried: Set<string>;
  /** Attempts without a result, by attempt identifier. */
  readonly inFlight: Map<string, SentAttempt>;
  /** Owners to which it was sent; limited by `MAX_OWNERS_ASKED`. */
  asked: number;
  /** Upstreams that received it, or may have, whether or not they ran it. */
  reached: number;
  /** Some upstream may have executed it, so `not-run` would be false. */
  mayHaveRun: boolean;
  /** What to answer if no further owner can be asked. */
  lastRefusal?: Refusal;
}
