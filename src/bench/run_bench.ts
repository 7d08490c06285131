/** Runs the selected parts of a bench run one after another. */
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
  FleetMeasurementPlan,
  FleetRun,
} from './bench_plan.js';
import {SettingsDirectory} from './proxy_setup.js';
import {CoreCost, measureCoreCost} from './core_cost.js';
import {measureThroughput} from './throughput.js';

/** Prints a line of progress. */
export type ReportProgress = (line: string) => void;

/** The measurements of a fleet of one size with one set of settings. */
export interface FleetResult extends ConvergenceReport {
  readonly kind: 'measured';
  readonly variant: string;
}

/** A fleet that could not be measured; the run continues with the others. */
interface FleetFailure {
  readonly kind: 'failed';
  readonly variant: string;
  readonly size: number;
  readonly message: string;
}

/** Results of the parts that ran. */
export interface BenchResults {
  readonly share?: Awaited<ReturnType<typeof measureLatency>>;
  readonly peak?: Awaited<ReturnType<typeof measureLatency>>;
  readonly chains?: Awaited<ReturnType<typeof measureChains>>;
  readonly throughput?: Awaited<ReturnType<typeof measureThroughput>>;
  readonly fleet: readonly FleetResult[];
  readonly core: readonly CoreCost[];
}

/**
 * Runs the selected parts. All child processes have been stopped when the
 * promise settles.
 * @param plan - What to measure.
 * @param parts - The parts of the plan to run.
 * @param reportProgress - Called with lines of text for the user.
 * @returns The results.
 */
export async function runBench(
  plan: BenchPlan,
  parts: ReadonlySet<BenchPart>,
  reportProgress: ReportProgress,
): Promise<BenchResults> {
  const children = new ChildProcesses();
  const settingsDirectory = await SettingsDirectory.create();
  try {
    const calls = await runCallParts(
      plan,
      parts,
      children,
      settingsDirectory,
      reportProgress,
    );
    await children.stopAll();
    const fleet = parts.has('fleet')
      ? await runFleets(plan.fleet, children, settingsDirectory, reportProgress)
      : [];
    const core = parts.has('core') ? measureCoreCost(plan.core) : [];
    return {...calls, fleet, core};
  } finally {
    await children.stopAll();
    await settingsDirectory.remove();
  }
}

async function runCallParts(
  plan: BenchPlan,
  parts: ReadonlySet<BenchPart>,
  children: ChildProcesses,
  settingsDirectory: SettingsDirectory,
  reportProgress: ReportProgress,
): Promise<Omit<BenchResults, 'fleet' | 'core'>> {
  const selected = (['calls', 'chains', 'throughput'] as const).filter(part =>
    parts.has(part),
  );
  if (selected.length === 0) {
    return {};
  }
  reportProgress('calls: starting proxies, bare hops and upstreams');
  const topology = await startCallTopology(children, settingsDirectory);
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
  fleet: FleetMeasurementPlan,
  children: ChildProcesses,
  settingsDirectory: SettingsDirectory,
  reportProgress: ReportProgress,
): Promise<FleetResult[]> {
  const results: FleetResult[] = [];
  for (const group of fleet.groups) {
    const labels = group.map(({size, variant}) => `${size} ${variant.name}`);
    reportProgress(`fleet: ${labels.join(', ')}`);
    const reports = await Promise.all(
      group.map(run => runFleet(fleet, run, children, settingsDirectory)),
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
  fleet: FleetMeasurementPlan,
  {size, variant}: FleetRun,
  children: ChildProcesses,
  settingsDirectory: SettingsDirectory,
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
    const report = await measureConvergence(children, settingsDirectory, plan);
    return {kind: 'measured', ...report, variant: variant.name};
  } catch (error) {
    const message = (error as Error).message;
    return {kind: 'failed', variant: variant.name, size, message};
  }
}
