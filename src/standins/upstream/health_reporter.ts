/** The health that an upstream tells, which may be old or untrue. */
import {HealthStatus} from './options.js';

interface HealthSample {
  readonly at: number;
  readonly status: HealthStatus;
  readonly running: number;
}

/** Oldest reports are dropped beyond this many. */
const MAX_SAMPLES = 10_000;

export class HealthReporter {
  private samples: HealthSample[] = [];
  private statusOverride: HealthStatus | undefined;

  /**
   * @param lagMs - How old the state is that is told, in milliseconds.
   * @param now - Clock in milliseconds.
   */
  constructor(
    private lagMs: number,
    private readonly now: () => number,
  ) {
    this.record('ok', 0);
  }

  /**
   * Records the true state.
   * @param status - The status.
   * @param running - Requests that run.
   */
  record(status: HealthStatus, running: number): void {
    const at = this.now();
    this.samples.push({at, status, running});
    const firstKept = this.findReportedIndex(at);
    this.samples = this.samples.slice(firstKept).slice(-MAX_SAMPLES);
  }

  /** @param lagMs - How old the state is that is told from now on. */
  setLag(lagMs: number): void {
    this.lagMs = lagMs;
  }

  /** @param status - What to tell from now on; undefined tells the truth. */
  overrideStatus(status: HealthStatus | undefined): void {
    this.statusOverride = status;
  }

  /** @returns The state as told. */
  getReportedHealth(): {
    readonly status: HealthStatus;
    readonly running: number;
  } {
    const {status, running} = this.samples[this.findReportedIndex(this.now())];
    return {status: this.statusOverride ?? status, running};
  }

  /** Index of the last report that is old enough, or of the first. */
  private findReportedIndex(now: number): number {
    const index = this.samples.findLastIndex(
      report => report.at <= now - this.lagMs,
    );
    return Math.max(0, index);
  }
}
