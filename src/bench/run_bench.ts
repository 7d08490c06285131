/** Runs the parts of a bench one after another. */
import {measureChains, measureLatency} from './call_latency.js';
import {CallTopology, startCallTopology} from './call_topology.js';
import {ChildProcesses} from './child_processes.js';
import {
  ConvergencePlan,
  ConvergenceReport,
  measureConvergence,
} from './convergence.js';
import {
  BenchPart,
  BenchPlan,
  FleetMeasurements,
  FleetRun,
} from './bench_plan.js';
import {SettingsDirectory} from './proxy_setup.js';
import {CoreCost, measureCoreCost} from './core_cost.js';
import {measureThroughput} from './throughput.js';

/** Tells of progress, one line at a time. */
export type ReportProgress = (line: string) => void;

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
 * @param reportProgress - Takes lines for people.
 * @returns The results.
 */
export async function runBench(
  plan: BenchPlan,
  parts: ReadonlySet<BenchPart>,
  reportProgress: ReportProgress,
): Promise<BenchResults> {
  const children = new ChildProcesses();
  const folder = await SettingsDirectory.create();
  try {
    const calls = await runCallParts(
      plan,
      parts,
      children,
      folder,
      reportProgress,
    );
    await children.stopAll();
    const fleet = parts.has('fleet')
      ? await runFleets(plan.fleet, children, folder, reportProgress)
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
  children: ChildProcesses,
  folder: SettingsDirectory,
  reportProgress: ReportProgress,
): Promise<Omit<BenchResults, 'fleet' | 'core'>> {
  const selected = (['calls', 'chains', 'throughput'] as const).filter(part =>
    parts.has(part),
  );
  if (selected.length === 0) {
    return {};
  }
  reportProgress('calls: starting proxies, bare hops and upstreams');
  const topology = await startCallTopology(children, folder);
  const results: {-readonly [K in keyof BenchResults]?: BenchResults[K]} = {};
  for (const part of selected) {
    reportProgress(`${part}: measuring`);
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
  children: ChildProcesses,
  folder: SettingsDirectory,
  reportProgress: ReportProgress,
): Promise<FleetResult[]> {
  const results: FleetResult[] = [];
  for (const group of fleet.groups) {
    const labels = group.map(({size, variant}) => `${size} ${variant.name}`);
    reportProgress(`fleet: ${labels.join(', ')}`);
    const reports = await Promise.all(
      group.map(run => runFleet(fleet, run, children, folder)),
    );
    for (const report of reports) {
      reportProgress(JSON.stringify(report));
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
  children: ChildProcesses,
  folder: SettingsDirectory,
): Promise<FleetResult | FleetFailure> {
  const {
    zones,
    maxProcesses,
    changes,
    burstChanges,
    idleMs,
    singleRestarts,
    restartsFleet,
  } = fleet;
  const proxiesPerProcess = Math.ceil(size / maxProcesses);
  const plan: ConvergencePlan = {
    fleet: {
      size,
      zones,
      proxiesPerProcess,
      dissemination: variant.dissemination,
    },
    changes,
    burstChanges,
    idleMs,
    singleRestarts: proxiesPerProcess === 1 ? singleRestarts : 0,
    restartsFleet,
  };
  try {
    const report = await measureConvergence(children, folder, plan);
    return {kind: 'measured', ...report, variant: variant.name};
  } catch (error) {
    const message = (error as Error).message;
    return {kind: 'failed', variant: variant.name, size, message};
  }
}
