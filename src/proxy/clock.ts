/** Time and randomness for events. */
import {randomFillSync} from 'node:crypto';

const ENTROPY_BATCH = 1_024;

export interface Clock {
  /** Unix milliseconds; never runs backwards, and runs on during a pause. */
  now(): number;
  /** A random unsigned 32-bit integer. */
  getEntropy(): number;
}

export class SystemClock implements Clock {
  private readonly pool = new Uint32Array(ENTROPY_BATCH);
  private used = ENTROPY_BATCH;

  now(): number {
    return performance.timeOrigin + performance.now();
  }

  getEntropy(): number {
    if (this.used === ENTROPY_BATCH) {
      randomFillSync(this.pool);
      this.used = 0;
    }
    return this.pool[this.used++];
  }
}
