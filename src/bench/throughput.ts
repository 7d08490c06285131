/** Most calls a second through one pair of proxies, and what a call costs. */
import {CallTopology} from './call_topology.js';
import {Child, readCpuTimeMs} from './child_processes.js';
import {Arm} from './open_loop.js';
import {summarizeSamples, SampleSummary} from './stats.js';

const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

export interface ThroughputPlan {
  /** Requests under way at the same time. */
  readonly concurrency: number;
  readonly windowMs: number;
  readonly repetitions: number;
}

export interface ThroughputReport {
  readonly plan: ThroughputPlan;
  readonly callsPerSecond: SampleSummary;
  readonly bareCallsPerSecond: SampleSummary;
  /** Processor time of one call in each process, in microseconds. */
  readonly entryUsPerCall: SampleSummary;
  readonly ownerUsPerCall: SampleSummary;
  readonly bareEntryUsPerCall: SampleSummary;
  readonly bareOwnerUsPerCall: SampleSummary;
  readonly failed: number;
}

interface ThroughputSample {
  readonly callsPerSecond: number;
  readonly entryUs: number;
  readonly ownerUs: number;
  readonly failed: number;
}

/** Keeps a number of requests under way until the time is over. */
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
 * Measures the pair of proxies and the pair of bare hops in turns.
 * @param topology - The processes.
 * @param plan - Concurrency, length and repetitions.
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
