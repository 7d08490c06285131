/** What a proxy notes of its reads of the source, and of what they proved. */

/** First and longest wait after reads that failed, in milliseconds. */
const BACKOFF_BASE_MS = 400;
const BACKOFF_MAX_MS = 2_000;

/**
 * Age from which an answer without news is believed: the source may deliver
 * nothing for a second while changes are made.
 */
const CHECKPOINT_SETTLE_MS = 2_500;

/** A revision at which the source had no later version to tell. */
interface ConfigCheckpoint {
  readonly at: number;
  readonly revision: number;
}

export interface SourceReadState {
  /** When what is known was last true at the source, in milliseconds. */
  freshAt: number;
  /** When this proxy itself last read the source. */
  readAt: number;
  fleetReadPending: boolean;
  failedReads: number;
  /** No read before this time, after a failure. */
  notBefore: number;
  /** Revision up to which no version can have been missed; 0: none known. */
  configRevision: number;
  /** Later revisions, not yet old enough to be certain. */
  pendingCheckpoints: ConfigCheckpoint[];
  /** A read of the configuration, or a wait for the next, is under way. */
  configReadPending: boolean;
  /** When the wait for the next version began. */
  configWaitStartedAt: number;
  /** No read of the configuration before this time. */
  configNotBefore: number;
  /** When the fleet was first known. */
  firstListedAt?: number;
  /** Counts the news that were told. */
  broadcastCount: number;
  /** Since when the source has not answered this proxy. */
  unreachableSince?: number;
}

export function createSourceReadState(): SourceReadState {
  return {
    freshAt: -Infinity,
    readAt: -Infinity,
    fleetReadPending: false,
    failedReads: 0,
    notBefore: 0,
    configRevision: 0,
    pendingCheckpoints: [],
    configReadPending: false,
    configWaitStartedAt: -Infinity,
    configNotBefore: 0,
    broadcastCount: 0,
  };
}

/** Notes a revision at which there was no later version. */
export function recordConfigCheckpoint(
  schedule: SourceReadState,
  revision: number,
  at: number,
): void {
  schedule.pendingCheckpoints.push({at, revision});
  while (
    schedule.pendingCheckpoints.length > 0 &&
    at - schedule.pendingCheckpoints[0].at >= CHECKPOINT_SETTLE_MS
  ) {
    const [checkpoint] = schedule.pendingCheckpoints.splice(0, 1);
    schedule.configRevision = Math.max(
      schedule.configRevision,
      checkpoint.revision,
    );
  }
}

/**
 * Notes a failed read: the next one waits longer, by a random part of a span
 * that doubles.
 */
export function recordReadFailure(
  schedule: SourceReadState,
  at: number,
  entropy: number,
): void {
  schedule.fleetReadPending = false;
  schedule.failedReads += 1;
  schedule.unreachableSince ??= at;
  const doubled = BACKOFF_BASE_MS * 2 ** Math.min(schedule.failedReads, 8);
  const spanMs = Math.min(BACKOFF_MAX_MS, doubled);
  schedule.notBefore = at + spanMs * (0.5 + entropy / 2 ** 33);
}

export function recordReadSuccess(schedule: SourceReadState, at: number): void {
  schedule.fleetReadPending = false;
  schedule.failedReads = 0;
  schedule.notBefore = 0;
  schedule.unreachableSince = undefined;
  schedule.freshAt = at;
  schedule.readAt = at;
}
