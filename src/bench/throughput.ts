/**
 * Measures the highest call rate of one pair of proxies, and the CPU time per
 * call.
 */
import {CallTopology} from './call_topology.js';
import {Child, readCpuTimeMs} from './child_processes.js';
import {Arm} from './open_loop.js';
import {summarizeSamples, SampleSummary} from './stats.js';

const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

export interface ThroughputPlan {
  /** Number of requests in flight. */
  readonly concurrency: number;
  readonly windowMs: number;
  readonly repetitions: number;
}

export interface ThroughputReport {
  readonly plan: ThroughputPlan;
  readonly callsPerSecond: SampleSummary;
  readonly bareCallsPerSecond: SampleSummary;
  /** CPU time of one call in the entry process, in microseconds. */
  readonly entryUsPerCall: SampleSummary;
  /** CPU time of one call in the owner process, in microseconds. */
  readonly ownerUsPerCall: SampleSummary;
  /** CPU time of one call in each of the two bare hops, in microseconds. */
  readonly bareEntryUsPerCall: SampleSummary;
  readonly bareOwnerUsPerCall: SampleSummary;
  /** Number of failed calls through proxies and bare hops. */
  readonly failed: number;
}

/** Measurements of one closed-loop window. */
interface ThroughputSample {
  readonly callsPerSecond: number;
  readonly entryUs: number;
  readonly ownerUs: number;
  readonly failed: number;
}

/**
 * Runs a closed loop: keeps a fixed number of requests in flight for one
 * window.
 */
async function measureSample(
  arm: Arm,
  entry: Child,
  owner: Child,
  plan: ThroughputPlan,
): Promise<ThroughputSample> {
  const entryBefore = readCpuTimeMs(entry.pid);
  const ownerBefore = readCpuTimeMs(owner.pid);
  const startedAt = performance.now();
  const endsAt = startedAt + plan.windowMs;
  let completed = 0;
  let failed = 0;
  const sendUntilEnd = async () => {
    while (performance.now() < endsAt) {
      const isExpected = await arm.send().catch(() => false);
      completed += 1;
      failed += isExpected ? 0 : 1;
    }
  };
  await Promise.all(Array.from({length: plan.concurrency}, sendUntilEnd));
  const elapsedMs = performance.now() - startedAt;
  const entryMs = readCpuTimeMs(entry.pid) - entryBefore;
  const ownerMs = readCpuTimeMs(owner.pid) - ownerBefore;
  return {
    callsPerSecond: (completed * MS_PER_SECOND) / elapsedMs,
    entryUs: (entryMs * US_PER_MS) / completed,
    ownerUs: (ownerMs * US_PER_MS) / completed,
    failed,
  };
}

/**
 * Measures the pair of proxies and the pair of bare hops alternately.
 * @param topology - The running processes.
 * @param plan - Concurrency, window length and repetitions.
 * @returns The report.
 */
export async function measureThroughput(
  topology: CallTopology,
  plan: ThroughputPlan,
): Promise<ThroughputReport> {
  const {arms, entry, owner, bareEntry, bareOwner} = topology;
  const proxySamples: ThroughputSample[] = [];
  const bareSamples: ThroughputSample[] = [];
  for (let index = 0; index < plan.repetitions; index += 1) {
    proxySamples.push(await measureSample(arms.pair, entry, owner, plan));
    bareSamples.push(
      await measureSample(arms.bareTwo, bareEntry, bareOwner, plan),
    );
  }
  const summarizeField = (
    samples: readonly ThroughputSample[],
    field: keyof ThroughputSample,
  ) => summarizeSamples(samples.map(sample => sample[field]));
  return {
    plan,
    callsPerSecond: summarizeField(proxySamples, 'callsPerSecond'),
    bareCallsPerSecond: summarizeField(bareSamples, 'callsPerSecond'),
    entryUsPerCall: summarizeField(proxySamples, 'entryUs'),
    ownerUsPerCall: summarizeField(proxySamples, 'ownerUs'),
    bareEntryUsPerCall: summarizeField(bareSamples, 'entryUs'),
    bareOwnerUsPerCall: summarizeField(bareSamples, 'ownerUs'),
    failed: [...proxySamples, ...bareSamples].reduce(
      (sum, sample) => sum + sample.failed,
      0,
    ),
  };
}
