/** Reported health of an upstream, which may be outdated or overridden. */
import {HealthStatus} from './options.js';

interface HealthSample {
  readonly at: number;
  readonly status: HealthStatus;
  readonly running: number;
}

/** Beyond this number, the oldest samples are dropped. */
const MAX_SAMPLES = 10_000;

export class HealthReporter {
  private samples: HealthSample[] = [];
  private statusOverride: HealthStatus | undefined;

  /**
   * @param lagMs - Age of the reported state, in milliseconds.
   * @param now - Clock in milliseconds.
   */
  constructor(
    private lagMs: number,
    private readonly now: () => number,
  ) {
    this.record('ok', 0);
  }

  /**
   * Records the actual state.
   * @param status - The status.
   * @param running - Number of running requests.
   */
  record(status: HealthStatus, running: number): void {
    const at = this.now();
    this.samples.push({at, status, running});
    const firstKept = this.findReportedIndex(at);
    this.samples = this.samples.slice(firstKept).slice(-MAX_SAMPLES);
  }

  /**
   * Changes the lag.
   * @param lagMs - Age of the reported state, in milliseconds.
   */
  setLag(lagMs: number): void {
    this.lagMs = lagMs;
  }

  /**
   * Overrides the reported status.
   * @param status - Status to report; undefined reports the recorded one.
   */
  overrideStatus(status: HealthStatus | undefined): void {
    this.statusOverride = status;
  }

  /** @returns The state to report. */
  getReportedHealth(): {
    readonly status: HealthStatus;
    readonly running: number;
  } {
    const {status, running} = this.samples[this.findReportedIndex(this.now())];
    return {status: this.statusOverride ?? status, running};
  }

  /** Index of the latest sample as old as the lag, or else of the first one. */
  private findReportedIndex(now: number): number {
    const index = this.samples.findLastIndex(
      sample => sample.at <= now - this.lagMs,
    );
    return Math.max(0, index);
  }
}
