/** A simulated upstream that can be slow, have a cold cache or be down. */
import {FailureKind} from '../core/types.js';
import {VirtualClock} from './virtual_clock.js';

/** Factor by which the first request with a cold cache takes longer. */
const COLD_CACHE_FACTOR = 10;

/**
 * Number of requests in which the extra time of a cold cache falls to 1/e.
 */
const WARM_UP_REQUESTS = 60;

interface RunningRequest {
  isFinished: boolean;
  readonly end: (failure?: FailureKind) => void;
}

export class FakeUpstream {
  /** Multiplies the time that each request takes. */
  slowness = 1;
  /** Refuses connections. */
  isDown = false;
  /** Highest number of requests that ran at the same time. */
  maxRunning = 0;
  private readonly runningRequests = new Map<string, RunningRequest>();
  private requestsSinceCacheClear = Infinity;

  constructor(private readonly clock: VirtualClock) {}

  /** Makes the next requests as slow as with a cold cache. */
  clearCache(): void {
    this.requestsSinceCacheClear = 0;
  }

  /**
   * Runs a request.
   * @param attemptId - Identifies the request.
   * @param workMs - Time that it takes with a warm cache and `slowness` 1.
   * @param timeoutMs - Time until its deadline, when the upstream aborts it.
   * @param done - Called once, with the failure if there is one.
   */
  run(
    attemptId: string,
    workMs: number,
    timeoutMs: number,
    done: (failure?: FailureKind) => void,
  ): void {
    const {clock, runningRequests} = this;
    const runningRequest: RunningRequest = {
      isFinished: false,
      end: failure => {
        if (!runningRequest.isFinished) {
          runningRequest.isFinished = true;
          runningRequests.delete(attemptId);
          done(failure);
        }
      },
    };
    if (this.isDown) {
      clock.schedule(clock.now, () => runningRequest.end('connect'));
      return;
    }
    runningRequests.set(attemptId, runningRequest);
    this.maxRunning = Math.max(this.maxRunning, runningRequests.size);
    const tookMs = workMs * this.slowness * this.getColdCacheFactor();
    this.requestsSinceCacheClear += 1;
    const failure = tookMs > timeoutMs ? 'timeout' : undefined;
    clock.schedule(clock.now + Math.min(tookMs, timeoutMs), () =>
      runningRequest.end(failure),
    );
  }

  /** Ends a running request that its proxy has aborted. */
  cancel(attemptId: string): void {
    this.runningRequests.get(attemptId)?.end('timeout');
  }

  private getColdCacheFactor(): number {
    const warming = Math.exp(-this.requestsSinceCacheClear / WARM_UP_REQUESTS);
    return 1 + (COLD_CACHE_FACTOR - 1) * warming;
  }
}
