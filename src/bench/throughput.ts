/** Most calls a second through one pair of proxies, and what a call costs. */
import {CallTopology} from './call_topology.js';
import {Child, getProcessorMs} from './children.js';
import {Arm} from './open_loop.js';
import {getSpread, Spread} from './stats.js';

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
  readonly callsPerSecond: Spread;
  readonly bareCallsPerSecond: Spread;
  /** Processor time of one call in each process, in microseconds. */
  readonly entryUsPerCall: Spread;
  readonly ownerUsPerCall: Spread;
  readonly bareEntryUsPerCall: Spread;
  readonly bareOwnerUsPerCall: Spread;
  readonly failed: number;
}

interface Burst {
  readonly callsPerSecond: number;
  readonly entryUs: number;
  readonly ownerUs: number;
  readonly failed: number;
}

/** Keeps a number of requests under way until the time is over. */
async function runBurst(
  arm: Arm,
  entry: Child,
  owner: Child,
  plan: ThroughputPlan,
): Promise<Burst> {
  const entryBefore = getProcessorMs(entry.pid);
  const ownerBefore = getProcessorMs(owner.pid);
  const begin = performance.now();
  const end = begin + plan.windowMs;
  let done = 0;
  let failed = 0;
  const work = async () => {
    while (performance.now() < end) {
      const isExpected = await arm.send().catch(() => false);
      done += 1;
      failed += isExpected ? 0 : 1;
    }
  };
  await Promise.all(Array.from({length: plan.concurrency}, work));
  const elapsedMs = performance.now() - begin;
  const entryMs = getProcessorMs(entry.pid) - entryBefore;
  const ownerMs = getProcessorMs(owner.pid) - ownerBefore;
  return {
    callsPerSecond: (done * MS_PER_SECOND) / elapsedMs,
    entryUs: (entryMs * US_PER_MS) / done,
    ownerUs: (ownerMs * US_PER_MS) / done,
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
  const ours: Burst[] = [];
  const bare: Burst[] = [];
  for (let index = 0; index < plan.repetitions; index += 1) {
    ours.push(await runBurst(arms.pair, entry, owner, plan));
    bare.push(await runBurst(arms.bareTwo, bareEntry, bareOwner, plan));
  }
  const spread = (bursts: readonly Burst[], field: keyof Burst) =>
    getSpread(bursts.map(burst => burst[field]));
  return {
    plan,
    callsPerSecond: spread(ours, 'callsPerSecond'),
    bareCallsPerSecond: spread(bare, 'callsPerSecond'),
    entryUsPerCall: spread(ours, 'entryUs'),
    ownerUsPerCall: spread(ours, 'ownerUs'),
    bareEntryUsPerCall: spread(bare, 'entryUs'),
    bareOwnerUsPerCall: spread(bare, 'ownerUs'),
    failed: [...ours, ...bare].reduce((sum, burst) => sum + burst.failed, 0),
  };
}
