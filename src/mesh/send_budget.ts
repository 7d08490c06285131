/**
 * Decides when bytes may be sent over a connection of limited bandwidth. It is told
 * the time and neither waits nor sends.
 */
import {getPacedMs} from '../core/mesh/link_rate.js';

/**
 * Unused time that is made up for later, in milliseconds: timers are late on a busy
 * machine. More would be a burst that delays small messages by as much.
 */
const MAX_CREDIT_MS = 30;

/**
 * Bound on the time that small messages take from bodies, in milliseconds. Where the
 * configured bandwidth is too low, bodies would otherwise never be sent.
 */
const MAX_DEBT_MS = 200;

/** Bytes of one process, sent over all its links, in relation to the bandwidth. */
export class SendBudget {
  /** Time at which the bytes sent so far will have left at the paced rate. */
  private busyUntil = -Infinity;

  /** @param getMbps - Bandwidth of the VM; settings may change it. */
  constructor(private readonly getMbps: () => number) {}

  /**
   * Counts bytes that are sent now.
   * @param bytes - Their number.
   * @param now - In milliseconds.
   */
  spend(bytes: number, now: number): void {
    const from = Math.max(this.busyUntil, now - MAX_CREDIT_MS);
    const until = from + getPacedMs(bytes, this.getMbps());
    this.busyUntil = Math.min(until, now + MAX_DEBT_MS);
  }

  /** Returns the time until a chunk may be sent, in milliseconds. */
  getDelayMs(now: number): number {
    return Math.max(0, this.busyUntil - now);
  }

  /** Returns the time that bytes take alone, in milliseconds. */
  getBytesMs(bytes: number): number {
    return getPacedMs(bytes, this.getMbps());
  }
}
