/** Calls that an entry has accepted and not yet answered. */
import {RouteTarget} from '../config/routing_table.js';
import {CallInfo} from '../types.js';

export interface Call {
  readonly callId: string;
  readonly info: CallInfo;
  readonly route: RouteTarget;
  readonly idempotent: boolean;
  /** Present for a request that must run at most once. */
  readonly key?: string;
  readonly privateKey: boolean;
  readonly deadlineAt: number;
  readonly triedUpstreams: Set<string>;
  attemptCount: number;
  /** An attempt may have run, so the call can no longer be `not-run`. */
  mayHaveRun: boolean;
  /** An attempt was running when its upstream crashed. */
  suspect: boolean;
  currentAttempt?: CurrentAttempt;
  /** A keyed call waits until then for its home to catch up. */
  retryAt?: number;
}

export interface CurrentAttempt {
  readonly attemptId: string;
  readonly upstreamId: string;
  readonly address: string;
  /** The attempt failed and its home has been asked to close the key. */
  closing: boolean;
}

export interface Calls {
  readonly byId: Map<string, Call>;
  readonly byAttempt: Map<string, Call>;
  /** Calls with `retryAt` set. */
  readonly delayed: Set<Call>;
}

export function createCalls(): Calls {
  return {byId: new Map(), byAttempt: new Map(), delayed: new Set()};
}

export function removeCall(calls: Calls, call: Call): void {
  calls.byId.delete(call.callId);
  calls.delayed.delete(call);
  if (call.currentAttempt !== undefined) {
    calls.byAttempt.delete(call.currentAttempt.attemptId);
  }
}
