/** Counts the platform's calls and refuses those over its rate. */

const MS_PER_SECOND = 1_000;

export type CallKind = 'watch' | 'submissions' | 'vms';

export interface CallCounts {
  readonly watch: number;
  readonly submissions: number;
  readonly vms: number;
  readonly refused: number;
}

/** A token bucket whose capacity is one second's calls. */
export class CallRateLimiter {
  private tokens: number;
  private refilledAt: number;
  private counts: CallCounts = {watch: 0, submissions: 0, vms: 0, refused: 0};

  /**
   * @param callsPerSecond - Calls that pass in a second.
   * @param now - Clock in milliseconds that never runs backwards.
   */
  constructor(
    private readonly callsPerSecond: number,
    private readonly now: () => number,
  ) {
    this.tokens = callsPerSecond;
    this.refilledAt = now();
  }

  /**
   * Counts one call.
   * @param kind - What was called.
   * @returns False where the call is over the rate and must be refused.
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

  /** @returns Calls so far, by kind. */
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
