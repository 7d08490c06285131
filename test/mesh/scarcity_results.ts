/** What the scarcity replay counts. */

/** How the callers of one kind fared. */
export interface KindResult {
  callers: number;
  inTime: number;
  late: number;
  /** No try was held for longer than a few round trips. */
  refusedOnArrival: number;
  refusedAfterWait: number;
  /** Its run failed because a call that the run made was refused. */
  failed: number;
  /** The deadline passed without an answer. */
  expired: number;
  /** Runs that ended without use: failed, or after the deadline. */
  wastedRuns: number;
  runs: number;
}

export interface ReplayResult {
  readonly kinds: ReadonlyMap<string, KindResult>;
  /** Utility as a share of that of a service without limits. */
  readonly utility: number;
  readonly refusedAttempts: number;
}

export function createResult(): KindResult {
  return {
    callers: 0,
    inTime: 0,
    late: 0,
    refusedOnArrival: 0,
    refusedAfterWait: 0,
    failed: 0,
    expired: 0,
    wastedRuns: 0,
    runs: 0,
  };
}
