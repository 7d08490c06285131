/**
 * Bounds the age of a peer's messages without a common clock. The difference between
 * both clocks is bounded from above by any message, which was read after it was sent,
 * and from below by a reply, which was sent after what it replies to.
 */

/** Largest rate at which two clocks drift apart. */
const MAX_DRIFT = 0.0005;

/** A bound on this process's time minus the peer's, in milliseconds. */
interface Bound {
  value: number;
  /** When it was found, on this process's clock. */
  at: number;
}

export class PeerClock {
  private readonly highest: Bound = {value: Infinity, at: 0};
  private readonly lowest: Bound = {value: -Infinity, at: 0};

  /**
   * @param resolutionMs - The peer's times are rounded down to multiples of this, in
   *     milliseconds, so each stands for any time until the next multiple.
   */
  constructor(private readonly resolutionMs = 0) {}

  /**
   * Records a message.
   * @param sentAt - When it was sent, on the peer's clock.
   * @param readAt - When it was read, on this process's clock.
   */
  recordMessage(sentAt: number, readAt: number): void {
    const found = readAt - sentAt;
    if (found <= this.getHighest(readAt)) {
      this.highest.value = found;
      this.highest.at = readAt;
    }
    if (found < this.getLowest(readAt)) {
      // This machine was suspended, and its clock did not count the time.
      this.lowest.value = -Infinity;
    }
  }

  /**
   * Records a message that replies to one of this process.
   * @param askedAt - When this process sent its message, on its clock.
   * @param sentAt - When the peer sent the reply, on the peer's clock.
   * @param readAt - When the reply was read, on this process's clock.
   */
  recordReply(askedAt: number, sentAt: number, readAt: number): void {
    const found = askedAt - sentAt - this.resolutionMs;
    if (found >= this.getLowest(readAt)) {
      this.lowest.value = found;
      this.lowest.at = readAt;
    }
    if (found > this.getHighest(readAt)) {
      // The peer's machine was suspended.
      this.highest.value = readAt - sentAt;
      this.highest.at = readAt;
    }
  }

  /**
   * Gets the time that has passed on the peer's side since a moment, at least.
   * @param peerAt - The moment, on the peer's clock.
   * @param at - Now, on this process's clock.
   * @returns Milliseconds, as a message that took no time to arrive would show.
   */
  getLeastAgeMs(peerAt: number, at: number): number {
    const latestPeerAt = peerAt + this.resolutionMs;
    return Math.max(0, at - latestPeerAt - this.getHighest(at));
  }

  /** The same, at most; `Infinity` before the first reply. */
  getGreatestAgeMs(peerAt: number, at: number): number {
    return at - peerAt - this.getLowest(at);
  }

  private getHighest(at: number): number {
    return this.highest.value + (at - this.highest.at) * MAX_DRIFT;
  }

  private getLowest(at: number): number {
    return this.lowest.value - (at - this.lowest.at) * MAX_DRIFT;
  }
}
