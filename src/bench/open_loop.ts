/**
 * Open-loop load: requests start by a seeded schedule, whether or not earlier
 * ones have ended, and each latency counts from the scheduled start. So the
 * wait that a slow answer causes to later requests is not left out
 * (coordinated omission).
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {
  setImmediate as yieldToEventLoop,
  setTimeout as sleep,
} from 'node:timers/promises';
import {LatencyRecorder} from './stats.js';

const MS_PER_SECOND = 1_000;

/** Timers are late by up to a few milliseconds; nearer starts are polled. */
const TIMER_MARGIN_MS = 4;

/** One way of reaching the upstream, under test beside others. */
export interface Arm {
  readonly name: string;
  /** Makes one request; resolves to whether its answer was as expected. */
  send(): Promise<boolean>;
}

/** Latencies of one arm in one window. */
export interface ArmResult {
  readonly name: string;
  readonly latencies: LatencyRecorder;
  readonly failed: number;
}

interface ScheduledRequest {
  readonly at: number;
  readonly arm: number;
}

/**
 * Draws the starts of a Poisson process for each arm, merged in time order.
 * @param armCount - Number of arms.
 * @param rate - Requests a second of each arm.
 * @param durationMs - Length of the window.
 * @param seed - Seed of the schedule.
 * @returns The starts.
 */
export function createSchedule(
  armCount: number,
  rate: number,
  durationMs: number,
  seed: number,
): ScheduledRequest[] {
  const random = xoroshiro128plus(seed);
  const schedule: ScheduledRequest[] = [];
  for (let arm = 0; arm < armCount; arm += 1) {
    let at = 0;
    for (;;) {
      const intervalSeconds = -Math.log(1 - uniformFloat64(random)) / rate;
      at += intervalSeconds * MS_PER_SECOND;
      if (at >= durationMs) {
        break;
      }
      schedule.push({at, arm});
    }
  }
  return schedule.sort((a, b) => a.at - b.at);
}

/**
 * Runs one window in which the requests of all arms are interleaved.
 * @param arms - The arms.
 * @param rate - Requests a second of each arm.
 * @param durationMs - Length of the window.
 * @param seed - Seed of the schedule.
 * @returns One result for each arm, in their order.
 */
export async function runWindow(
  arms: readonly Arm[],
  rate: number,
  durationMs: number,
  seed: number,
): Promise<ArmResult[]> {
  const results = arms.map(({name}) => ({
    name,
    latencies: new LatencyRecorder(),
    failed: 0,
  }));
  const pending: Array<Promise<void>> = [];
  const startedAt = performance.now();
  for (const {at, arm} of createSchedule(arms.length, rate, durationMs, seed)) {
    const scheduledAt = startedAt + at;
    await sleepUntil(scheduledAt);
    pending.push(
      arms[arm].send().then(
        isExpected => {
          results[arm].latencies.record(performance.now() - scheduledAt);
          results[arm].failed += isExpected ? 0 : 1;
        },
        () => {
          results[arm].failed += 1;
        },
      ),
    );
  }
  await Promise.all(pending);
  return results;
}

async function sleepUntil(at: number): Promise<void> {
  const sleepMs = at - performance.now() - TIMER_MARGIN_MS;
  if (sleepMs > 0) {
    await sleep(sleepMs);
  }
  while (performance.now() < at) {
    await yieldToEventLoop();
  }
}
