/**
 * State of a proxy's reads of the source: which are in progress or due, and how
 * current their results are.
 */

/** Base and upper bound of the exponential backoff after failed reads. */
const BACKOFF_BASE_MS = 400;
const BACKOFF_MAX_MS = 2_000;

/**
 * Age from which a checkpoint is certain: no configuration up to its revision
 * is still to be delivered. The source may deliver nothing for a second
 * although changes are made.
 */
const CHECKPOINT_SETTLE_MS = 2_500;

/** A revision up to which the source reported no further configuration. */
interface ConfigCheckpoint {
  readonly at: number;
  readonly revision: number;
}

export interface SourceReadState {
  /** Latest time at which the known state was current at the source. */
  freshAt: number;
  /** When this proxy last got a listing of the source that may be stale. */
  staleListedAt: number;
  /** When the read of the fleet that is in progress began; undefined: none is. */
  fleetReadStartedAt?: number;
  /** The latest own reading was made in place of a proxy that ranks before this one. */
  standsIn: boolean;
  /** Reads of the fleet that failed in a row. */
  failedReads: number;
  /** Earliest time of the next read of the fleet, after a failure. */
  notBefore: number;
  /** Revision up to which no configuration can have been missed; 0: unknown. */
  configRevision: number;
  /** Later revisions that are not yet old enough to be certain, oldest first. */
  pendingCheckpoints: ConfigCheckpoint[];
  /** A read of the configuration or a wait for the next one is in progress. */
  configReadPending: boolean;
  /** When the latest read of the configuration, or wait for the next, began. */
  configReadStartedAt: number;
  /** Reads of the configuration that failed since the last answered poll. */
  failedConfigReads: number;
  /** Earliest time of the next read of the configuration. */
  configNotBefore: number;
  /** When the fleet was first listed, by the source or a peer. */
  firstListedAt?: number;
  /** When a listing first named an upstream. */
  upstreamsKnownAt?: number;
  /** Number of updates that were broadcast; varies the relays. */
  broadcastCount: number;
  /** Time of the first failed read since the source last answered. */
  unreachableSince?: number;
}

export function createSourceReadState(): SourceReadState {
  return {
    freshAt: -Infinity,
    staleListedAt: -Infinity,
    standsIn: false,
    failedReads: 0,
    notBefore: 0,
    configRevision: 0,
    pendingCheckpoints: [],
    configReadPending: false,
    configReadStartedAt: -Infinity,
    failedConfigReads: 0,
    configNotBefore: 0,
    broadcastCount: 0,
  };
}

/** Records a revision at which there was no later configuration. */
export function recordConfigCheckpoint(
  reads: SourceReadState,
  revision: number,
  at: number,
): void {
  reads.pendingCheckpoints.push({at, revision});
  while (
    reads.pendingCheckpoints.length > 0 &&
    at - reads.pendingCheckpoints[0].at >= CHECKPOINT_SETTLE_MS
  ) {
    const [checkpoint] = reads.pendingCheckpoints.splice(0, 1);
    reads.configRevision = Math.max(reads.configRevision, checkpoint.revision);
  }
}

/**
 * Records a failed read and schedules the next one: exponential backoff, of which
 * half is random.
 */
export function recordReadFailure(
  reads: SourceReadState,
  at: number,
  entropy: number,
): void {
  reads.fleetReadStartedAt = undefined;
  reads.failedReads += 1;
  reads.unreachableSince ??= at;
  const doubled = BACKOFF_BASE_MS * 2 ** Math.min(reads.failedReads, 8);
  const spanMs = Math.min(BACKOFF_MAX_MS, doubled);
  reads.notBefore = at + spanMs * (0.5 + entropy / 2 ** 33);
}

/**
 * Records that the source answered a read of the fleet.
 * @param readAt - When the list was current, at least.
 * @param mayBeStale - The listing does not show the state of that moment.
 */
export function recordReadSuccess(
  reads: SourceReadState,
  readAt: number,
  mayBeStale: boolean,
): void {
  reads.fleetReadStartedAt = undefined;
  reads.failedReads = 0;
  reads.notBefore = 0;
  reads.unreachableSince = undefined;
  if (mayBeStale) {
    reads.staleListedAt = readAt;
  } else {
    reads.freshAt = Math.max(reads.freshAt, readAt);
  }
}
