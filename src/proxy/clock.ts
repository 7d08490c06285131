/** Time and randomness for events. */
import {randomFillSync} from 'node:crypto';

const ENTROPY_POOL_SIZE = 1_024;

export interface Clock {
  /** Unix milliseconds; never runs backwards, and runs on during a pause. */
  now(): number;
  /** A random unsigned 32-bit integer. */
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
