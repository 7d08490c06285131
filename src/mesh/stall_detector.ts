/**
 * Detects that the event loop stood still. The processor time that the process used
 * meanwhile tells its own work from a suspension or a lack of processor time.
 */

/** Delay of a tick from which the loop counts as stalled, in milliseconds. */
const MIN_STALL_MS = 500;

/** Interval at which the processor time is read, in milliseconds. */
const SAMPLE_INTERVAL_MS = 1_000;

/** Share of a stall that the process computed, from which its own work caused it. */
const MIN_OWN_SHARE = 0.5;

/** A time for which nothing was read, in milliseconds. */
export interface Stall {
  readonly stalledMs: number;
  /** Processor time since the last sample, which may precede the stall. */
  readonly processorMs: number;
  readonly cause: 'own_work' | 'suspended';
}

export class StallDetector {
  private sampledAt = -Infinity;
  private sampledMs = 0;

  /** @param getProcessorMs - Gets the processor time of this process, in milliseconds. */
  constructor(private readonly getProcessorMs: () => number) {}

  /**
   * Checks a tick.
   * @param at - Now, in milliseconds.
   * @param dueAt - When the tick was due, on the same clock.
   * @returns The stall before this tick, if there was one.
   */
  check(at: number, dueAt: number): Stall | undefined {
    const stalledMs = at - dueAt;
    const isStall = stalledMs >= MIN_STALL_MS;
    if (!isStall && at - this.sampledAt < SAMPLE_INTERVAL_MS) {
      return undefined;
    }
    const usedMs = this.getProcessorMs();
    const processorMs = usedMs - this.sampledMs;
    this.sampledAt = at;
    this.sampledMs = usedMs;
    if (!isStall) {
      return undefined;
    }
    const isOwn = processorMs >= stalledMs * MIN_OWN_SHARE;
    const cause = isOwn ? 'own_work' : 'suspended';
    return {stalledMs, processorMs, cause};
  }
}
