/** The health that an upstream tells, which may be old or untrue. */
import {HealthStatus} from './options.js';

interface Report {
  readonly at: number;
  readonly status: HealthStatus;
  readonly running: number;
}

/** Oldest reports are dropped beyond this many. */
const MAX_REPORTS = 10_000;

export class HealthBoard {
  private reports: Report[] = [];
  private pretended: HealthStatus | undefined;

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
    this.reports.push({at, status, running});
    const shown = this.indexShown(at);
    this.reports = this.reports.slice(shown).slice(-MAX_REPORTS);
  }

  /** @param lagMs - How old the state is that is told from now on. */
  setLag(lagMs: number): void {
    this.lagMs = lagMs;
  }

  /** @param status - What to tell from now on; undefined tells the truth. */
  pretend(status: HealthStatus | undefined): void {
    this.pretended = status;
  }

  /** @returns The state as told. */
  tell(): {readonly status: HealthStatus; readonly running: number} {
    const {status, running} = this.reports[this.indexShown(this.now())];
    return {status: this.pretended ?? status, running};
  }

  /** Index of the last report that is old enough, or of the first. */
  private indexShown(now: number): number {
    const index = this.reports.findLastIndex(
      report => report.at <= now - this.lagMs,
    );
    return Math.max(0, index);
  }
}
