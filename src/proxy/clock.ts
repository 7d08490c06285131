/** Supplies the time and the random number of each event. */
import {randomFillSync} from 'node:crypto';

/** Random integers that are generated at a time. */
const ENTROPY_POOL_SIZE = 1_024;

export interface Clock {
  /**
   * Returns Unix milliseconds. Never decreases, and keeps counting while the
   * process is suspended.
   */
  now(): number;
  /** Returns a random unsigned 32-bit integer. */
  getEntropy(): number;
}

export class SystemClock implements Clock {
  private readonly pool = new Uint32Array(ENTROPY_POOL_SIZE);
  private nextIndex = ENTROPY_POOL_SIZE;

  now(): number {
    return performance.timeOrigin + performance.now();
  }

  getEntropy(): number {
    if (this.nextIndex === ENTROPY_POOL_SIZE) {
      randomFillSync(this.pool);
      this.nextIndex = 0;
    }
    return this.pool[this.nextIndex++];
  }
}
