/** Repeats the start of a daemon until what it needs is there. */
import {Result} from 'neverthrow';
import {BoundedLog} from './bounded_log.js';

/** Waiting time after the first failure; it doubles up to the maximum. */
const FIRST_DELAY_MS = 100;
const MAX_DELAY_MS = 2_000;

/** Interval at which a cause that persists is logged again. */
const REPORT_INTERVAL_MS = 60_000;

/** Why a start failed. */
export interface StartFailure {
  readonly cause: 'settings' | 'address' | 'unexpected';
  /** What was found, and the remedy. */
  readonly detail: string;
}

/** Starts something, as often as necessary. */
export class StartRetry<T> {
  private readonly attempts = new Map<StartFailure['cause'], number>();
  private abandoned = false;
  private wake: () => void = () => undefined;
  private reported?: {readonly detail: string; readonly at: number};

  /**
   * @param start - Makes one attempt, which leaves nothing behind if it fails.
   * @param log - Gets a line for each change of the cause, and now and then.
   */
  constructor(
    private readonly start: () => Promise<Result<T, StartFailure>>,
    private readonly log: BoundedLog,
  ) {}

  /** Number of failed attempts by cause. */
  get failures(): ReadonlyMap<string, number> {
    return this.attempts;
  }

  /** Returns what was started; undefined if that was abandoned before. */
  async run(): Promise<T | undefined> {
    for (let delayMs = FIRST_DELAY_MS; !this.abandoned;) {
      const started = await this.start();
      if (started.isOk()) {
        return started.value;
      }
      this.report(started.error);
      await this.wait(delayMs);
      delayMs = Math.min(2 * delayMs, MAX_DELAY_MS);
    }
    return undefined;
  }

  /** Makes the next attempt at once, if one is being waited for. */
  retryNow(): void {
    this.wake();
  }

  /** Makes no further attempt. */
  abandon(): void {
    this.abandoned = true;
    this.wake();
  }

  private async wait(delayMs: number): Promise<void> {
    if (this.abandoned) {
      return;
    }
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, delayMs);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.wake = () => undefined;
  }

  private report({cause, detail}: StartFailure): void {
    this.attempts.set(cause, (this.attempts.get(cause) ?? 0) + 1);
    const now = performance.now();
    const {reported} = this;
    if (reported?.detail === detail && now - reported.at < REPORT_INTERVAL_MS) {
      return;
    }
    this.reported = {detail, at: now};
    const attempts = this.attempts.get(cause);
    this.log.write('daemon', 'error', 'Proxy cannot start yet; it retries.', {
      cause,
      detail,
      attempts,
    });
  }
}
