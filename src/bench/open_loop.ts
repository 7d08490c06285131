/**
 * Generates open-loop load: requests start by a seeded schedule, whether or not
 * earlier requests have completed, and latency is measured from the scheduled
 * start. This avoids coordinated omission, where the delay that a slow response
 * causes for later requests goes unmeasured.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {
  setImmediate as yieldToEventLoop,
  setTimeout as sleep,
} from 'node:timers/promises';
import {LatencyRecorder} from './stats.js';

const MS_PER_SECOND = 1_000;

/** Timers fire a few milliseconds late, so the remaining time is polled. */
const TIMER_MARGIN_MS = 4;

/** One of the request paths that are compared with each other. */
export interface Arm {
  readonly name: string;
  /** Sends a request; resolves to whether the response is the expected one. */
  send(): Promise<boolean>;
}

/** Latencies of one arm in one window. */
export interface ArmResult {
  readonly name: string;
  readonly latencies: LatencyRecorder;
  readonly failed: number;
}

interface ScheduledRequest {
  /** Milliseconds after the start of the window. */
  readonly at: number;
  /** Index of the arm. */
  readonly arm: number;
}

/**
 * Creates a Poisson process of requests for each arm and merges them.
 * @param armCount - Number of arms.
 * @param rate - Requests per second in each arm.
 * @param durationMs - Length of the window in milliseconds.
 * @param seed - Seed of the schedule.
 * @returns The requests in time order.
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
 * @param arms - The arms to compare.
 * @param rate - Requests per second in each arm.
 * @param durationMs - Length of the window in milliseconds.
 * @param seed - Seed of the schedule.
 * @returns One result for each arm, in the order of `arms`.
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
