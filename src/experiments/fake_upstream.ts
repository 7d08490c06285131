/** An upstream that takes time, can be slow, cold or down, and keeps count. */
import {FailureKind} from '../core/types.js';
import {VirtualClock} from './virtual_clock.js';

/** How much longer the first request of a cold upstream takes. */
const COLD_FACTOR = 10;

/** Requests after which a cold upstream is warm for the greater part. */
const WARMING_REQUESTS = 60;

interface Run {
  isOver: boolean;
  readonly end: (failure?: FailureKind) => void;
}

export class FakeUpstream {
  /** Multiplies the time that each request takes. */
  slowness = 1;
  isDown = false;
  maxRunning = 0;
  private readonly runs = new Map<string, Run>();
  private servedSinceCold = Infinity;

  constructor(private readonly clock: VirtualClock) {}

  /** Forgets what it had cached. */
  makeCold(): void {
    this.servedSinceCold = 0;
  }

  /**
   * Runs a request.
   * @param attemptId - Names it.
   * @param workMs - Time that it takes on a warm, idle upstream.
   * @param timeoutMs - Time until its deadline, which the upstream honours.
   * @param done - Called once, with the failure if there is one.
   */
  run(
    attemptId: string,
    workMs: number,
    timeoutMs: number,
    done: (failure?: FailureKind) => void,
  ): void {
    const {clock, runs} = this;
    const run: Run = {
      isOver: false,
      end: failure => {
        if (!run.isOver) {
          run.isOver = true;
          runs.delete(attemptId);
          done(failure);
        }
      },
    };
    if (this.isDown) {
      clock.plan(clock.now, () => run.end('connect'));
      return;
    }
    runs.set(attemptId, run);
    this.maxRunning = Math.max(this.maxRunning, runs.size);
    const tookMs = workMs * this.slowness * this.getColdness();
    this.servedSinceCold += 1;
    const failure = tookMs > timeoutMs ? 'timeout' : undefined;
    clock.plan(clock.now + Math.min(tookMs, timeoutMs), () => run.end(failure));
  }

  /** Stops a request whose caller went away. */
  cancel(attemptId: string): void {
    this.runs.get(attemptId)?.end('timeout');
  }

  private getColdness(): number {
    const warming = Math.exp(-this.servedSinceCold / WARMING_REQUESTS);
    return 1 + (COLD_FACTOR - 1) * warming;
  }
}
