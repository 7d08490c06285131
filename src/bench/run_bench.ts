/** Runs the parts of a bench one after another. */
import {measureChains, measureLatency} from './call_latency.js';
import {CallTopology, startCallTopology} from './call_topology.js';
import {Children} from './children.js';
import {ConvergenceReport, measureConvergence} from './convergence.js';
import {BenchPart, BenchPlan, FleetMeasurements, Variant} from './plan.js';
import {SettingsFolder} from './proxies.js';
import {measureThroughput} from './throughput.js';

/** Tells of progress, one line at a time. */
export type Progress = (line: string) => void;

/** One size of fleet by one way of spreading. */
export interface FleetResult extends ConvergenceReport {
  readonly variant: string;
}

export interface BenchResults {
  readonly share?: Awaited<ReturnType<typeof measureLatency>>;
  readonly peak?: Awaited<ReturnType<typeof measureLatency>>;
  readonly chains?: Awaited<ReturnType<typeof measureChains>>;
  readonly throughput?: Awaited<ReturnType<typeof measureThroughput>>;
  readonly fleet: readonly FleetResult[];
}

/**
 * Runs the wanted parts. All processes have ended when it returns or rejects.
 * @param plan - What to measure.
 * @param parts - Which parts of it.
 * @param progress - Takes lines for people.
 * @returns The results.
 */
export async function runBench(
  plan: BenchPlan,
  parts: ReadonlySet<BenchPart>,
  progress: Progress,
): Promise<BenchResults> {
  const children = new Children();
  const folder = await SettingsFolder.create();
  try {
    const calls = await runCallParts(plan, parts, children, folder, progress);
    await children.stopAll();
    const fleet = parts.has('fleet')
      ? await runFleets(plan.fleet, children, folder, progress)
      : [];
    return {...calls, fleet};
  } finally {
    await children.stopAll();
    await folder.remove();
  }
}

async function runCallParts(
  plan: BenchPlan,
  parts: ReadonlySet<BenchPart>,
  children: Children,
  folder: SettingsFolder,
  progress: Progress,
): Promise<Omit<BenchResults, 'fleet'>> {
  const wanted = (['calls', 'chains', 'throughput'] as const).filter(part =>
    parts.has(part),
  );
  if (wanted.length === 0) {
    return {};
  }
  progress('calls: starting proxies, bare hops and upstreams');
  const topology = await startCallTopology(children, folder);
  const results: {-readonly [K in keyof BenchResults]?: BenchResults[K]} = {};
  for (const part of wanted) {
    progress(`${part}: measuring`);
    Object.assign(results, await runCallPart(part, plan, topology));
  }
  return results;
}

async function runCallPart(
  part: 'calls' | 'chains' | 'throughput',
  plan: BenchPlan,
  topology: CallTopology,
): Promise<Partial<BenchResults>> {
  switch (part) {
    case 'calls': {
      const share = await measureLatency(topology, plan.share);
      return {share, peak: await measureLatency(topology, plan.peak)};
    }
    case 'chains':
      return {chains: await measureChains(topology, plan.chains)};
    case 'throughput':
      return {throughput: await measureThroughput(topology, plan.throughput)};
  }
}

async function runFleets(
  fleet: FleetMeasurements,
  children: Children,
  folder: SettingsFolder,
  progress: Progress,
): Promise<FleetResult[]> {
  const results: FleetResult[] = [];
  for (const size of fleet.sizes) {
    progress(`fleet: ${size} proxies`);
    const measure = (variant: Variant) =>
      runFleet(fleet, size, variant, children, folder);
    if (fleet.concurrentVariants) {
      results.push(...(await Promise.all(fleet.variants.map(measure))));
      continue;
    }
    for (const variant of fleet.variants) {
      results.push(await measure(variant));
    }
  }
  return results;
}

async function runFleet(
  fleet: FleetMeasurements,
  size: number,
  variant: Variant,
  children: Children,
  folder: SettingsFolder,
): Promise<FleetResult> {
  const {zones, maxProcesses, changes, burst, restMs} = fleet;
  const report = await measureConvergence(children, folder, {
    fleet: {
      size,
      zones,
      proxiesPerProcess: Math.ceil(size / maxProcesses),
      dissemination: variant.dissemination,
    },
    changes,
    burst,
    restMs,
    restart: true,
  });
  return {...report, variant: variant.name};
}
