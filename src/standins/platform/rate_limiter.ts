/** Rate limit and call counts of the platform stand-in. */

const MS_PER_SECOND = 1_000;

export type CallKind = 'watch' | 'submissions' | 'vms';

export interface CallCounts {
  readonly watch: number;
  readonly submissions: number;
  readonly vms: number;
  readonly refused: number;
}

/** Token bucket with a capacity of one second's calls. */
export class CallRateLimiter {
  private tokens: number;
  private refilledAt: number;
  private counts: CallCounts = {watch: 0, submissions: 0, vms: 0, refused: 0};

  /**
   * @param callsPerSecond - Calls admitted per second.
   * @param now - Monotonic clock in milliseconds.
   */
  constructor(
    private readonly callsPerSecond: number,
    private readonly now: () => number,
  ) {
    this.tokens = callsPerSecond;
    this.refilledAt = now();
  }

  /**
   * Counts a call and takes a token for it.
   * @param kind - Kind of the call.
   * @returns False if the call exceeds the rate and must be refused.
   */
  tryAcquire(kind: CallKind): boolean {
    this.refill();
    if (this.tokens < 1) {
      this.counts = {...this.counts, refused: this.counts.refused + 1};
      return false;
    }
    this.tokens -= 1;
    this.counts = {...this.counts, [kind]: this.counts[kind] + 1};
    return true;
  }

  /** @returns Number of calls admitted by kind, and of those refused. */
  getCounts(): CallCounts {
    return this.counts;
  }

  private refill(): void {
    const now = this.now();
    const refilled =
      ((now - this.refilledAt) / MS_PER_SECOND) * this.callsPerSecond;
    this.tokens = Math.min(this.callsPerSecond, this.tokens + refilled);
    this.refilledAt = now;
  }
}
