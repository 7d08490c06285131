/** Runs the parts of a bench one after another. */
import {measureChains, measureLatency} from './call_latency.js';
import {CallTopology, startCallTopology} from './call_topology.js';
import {Children} from './children.js';
import {
  ConvergencePlan,
  ConvergenceReport,
  measureConvergence,
} from './convergence.js';
import {BenchPart, BenchPlan, FleetMeasurements, FleetRun} from './plan.js';
import {SettingsFolder} from './proxies.js';
import {CoreCost, measureCoreCost} from './core_cost.js';
import {measureThroughput} from './throughput.js';

/** Tells of progress, one line at a time. */
export type Progress = (line: string) => void;

/** One size of fleet by one way of spreading. */
export interface FleetResult extends ConvergenceReport {
  readonly kind: 'measured';
  readonly variant: string;
}

/** A fleet that did not come as far as it should; others go on. */
interface FleetFailure {
  readonly kind: 'failed';
  readonly variant: string;
  readonly size: number;
  readonly message: string;
}

export interface BenchResults {
  readonly share?: Awaited<ReturnType<typeof measureLatency>>;
  readonly peak?: Awaited<ReturnType<typeof measureLatency>>;
  readonly chains?: Awaited<ReturnType<typeof measureChains>>;
  readonly throughput?: Awaited<ReturnType<typeof measureThroughput>>;
  readonly fleet: readonly FleetResult[];
  readonly core: readonly CoreCost[];
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
    const core = parts.has('core') ? measureCoreCost(plan.core) : [];
    return {...calls, fleet, core};
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
): Promise<Omit<BenchResults, 'fleet' | 'core'>> {
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
  for (const group of fleet.groups) {
    const names = group.map(({size, variant}) => `${size} ${variant.name}`);
    progress(`fleet: ${names.join(', ')}`);
    const reports = await Promise.all(
      group.map(run => runFleet(fleet, run, children, folder)),
    );
    for (const report of reports) {
      progress(JSON.stringify(report));
      if (report.kind === 'measured') {
        results.push(report);
      }
    }
  }
  return results;
}

async function runFleet(
  fleet: FleetMeasurements,
  {size, variant}: FleetRun,
  children: Children,
  folder: SettingsFolder,
): Promise<FleetResult | FleetFailure> {
  const {zones, maxProcesses, changes, burst, restMs, starts} = fleet;
  const perProcess = Math.ceil(size / maxProcesses);
  const plan: ConvergencePlan = {
    fleet: {
      size,
      zones,
      proxiesPerProcess: perProcess,
      dissemination: variant.dissemination,
    },
    changes,
    burst,
    restMs,
    starts: perProcess === 1 ? starts : 0,
    restart: true,
  };
  try {
    const report = await measureConvergence(children, folder, plan);
    return {kind: 'measured', ...report, variant: variant.name};
  } catch (failure) {
    const message = (failure as Error).message;
    return {kind: 'failed', variant: variant.name, size, message};
  }
}
