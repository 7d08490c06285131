/** An upstream that takes time, can be slow, cold or down, and keeps count. */
import {FailureKind} from '../core/types.js';
import {VirtualClock} from './virtual_clock.js';

/** How much longer the first request of a cold upstream takes. */
const COLD_CACHE_FACTOR = 10;

/** Requests after which a cold upstream is warm for the greater part. */
const WARM_UP_REQUESTS = 60;

interface RunningRequest {
  isFinished: boolean;
  readonly end: (failure?: FailureKind) => void;
}

export class FakeUpstream {
  /** Multiplies the time that each request takes. */
  slowness = 1;
  isDown = false;
  maxRunning = 0;
  private readonly runningRequests = new Map<string, RunningRequest>();
  private requestsSinceCacheClear = Infinity;

  constructor(private readonly clock: VirtualClock) {}

  /** Forgets what it had cached. */
  clearCache(): void {
    this.requestsSinceCacheClear = 0;
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
    const {clock, runningRequests} = this;
    const run: RunningRequest = {
      isFinished: false,
      end: failure => {
        if (!run.isFinished) {
          run.isFinished = true;
          runningRequests.delete(attemptId);
          done(failure);
        }
      },
    };
    if (this.isDown) {
      clock.schedule(clock.now, () => run.end('connect'));
      return;
    }
    runningRequests.set(attemptId, run);
    this.maxRunning = Math.max(this.maxRunning, runningRequests.size);
    const tookMs = workMs * this.slowness * this.getColdCacheFactor();
    this.requestsSinceCacheClear += 1;
    const failure = tookMs > timeoutMs ? 'timeout' : undefined;
    clock.schedule(clock.now + Math.min(tookMs, timeoutMs), () =>
      run.end(failure),
    );
  }

  /** Stops a request whose caller went away. */
  cancel(attemptId: string): void {
    this.runningRequests.get(attemptId)?.end('timeout');
  }

  private getColdCacheFactor(): number {
    const warming = Math.exp(-this.requestsSinceCacheClear / WARM_UP_REQUESTS);
    return 1 + (COLD_CACHE_FACTOR - 1) * warming;
  }
}
