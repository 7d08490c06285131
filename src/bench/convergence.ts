/**
 * Measures how fast a configuration change reaches all proxies of a fleet,
 * what the control traffic costs, and how long restarts take.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Patch, RouteSchema} from '../model/config.js';
import {ChildProcesses} from './child_processes.js';
import {Fleet, FleetPlan, FleetUsage} from './fleet.js';
import {SettingsDirectory} from './proxy_setup.js';
import {getQuantile, summarizeSamples, SampleSummary} from './stats.js';

const MS_PER_SECOND = 1_000;
const PERCENT = 100;

/** Delay between the changes of a burst. */
const BURST_INTERVAL_MS = 100;

export interface ConvergencePlan {
  readonly fleet: FleetPlan;
  /**
   * Changes that are published one by one, each after the previous converged.
   */
  readonly changes: number;
  /** Changes that are published without waiting for convergence. */
  readonly burstChanges: number;
  /** Time without changes, in which the idle cost is measured. */
  readonly idleMs: number;
  /** Restarts of one process, with all proxies in it. */
  readonly singleRestarts: number;
  /** Whether all processes are restarted at the same time at the end. */
  readonly restartsFleet: boolean;
}

/** Cost of the control traffic over an interval. */
export interface ControlCost {
  readonly seconds: number;
  /** Bytes sent and received by one proxy, including HTTP headers. */
  readonly bytesPerSecond: number;
  /** CPU usage of one proxy, in percent of one CPU core. */
  readonly corePercent: number;
  /** Calls to the configuration source by the whole fleet. */
  readonly sourceCalls: number;
}

export interface ConvergenceReport {
  readonly size: number;
  readonly zones: number;
  /** From the publication until every proxy has adopted the version. */
  readonly convergenceMs: SampleSummary & {readonly p99: number};
  /**
   * From the publication until a proxy has adopted it, over all proxies and
   * changes.
   */
  readonly adoptionMs: {readonly p50: number; readonly p99: number};
  readonly sourceCallsPerChange: number;
  readonly atRest: ControlCost;
  readonly inBurst: ControlCost;
  /**
   * From the last publication of the burst until every proxy has adopted it.
   */
  readonly burstConvergenceMs: number;
  /** From the start of one process until it is ready, while the others run. */
  readonly startMs: SampleSummary;
  readonly restart?: {
    /** From the start of the processes until every proxy is ready. */
    readonly readyMs: number;
    readonly cost: ControlCost;
  };
  /** Resident memory of each process, divided by the number of its proxies. */
  readonly residentMbEach: SampleSummary;
}

function createChange(index: number): Patch {
  const route = RouteSchema.parse({
    pathPrefix: `/desk/${index}`,
    service: 'desk',
  });
  return {routes: {[`change-${index}`]: route}};
}

function computeCost(
  before: FleetUsage,
  after: FleetUsage,
  size: number,
): ControlCost {
  const seconds = (after.at - before.at) / MS_PER_SECOND;
  const processorMs = after.processorMs - before.processorMs;
  return {
    seconds,
    bytesPerSecond: (after.controlBytes - before.controlBytes) / seconds / size,
    corePercent: (processorMs / MS_PER_SECOND / seconds / size) * PERCENT,
    sourceCalls: after.sourceCalls - before.sourceCalls,
  };
}

/** Measures the cost of the control traffic while an action runs. */
async function measureCost(
  fleet: Fleet,
  action: () => Promise<unknown>,
): Promise<ControlCost> {
  const before = await fleet.readUsage();
  await action();
  return computeCost(before, await fleet.readUsage(), fleet.plan.size);
}

/** Publishes changes one by one and waits for the convergence of each. */
async function measureChanges(fleet: Fleet, count: number) {
  const convergenceMs: number[] = [];
  const adoptionMs: number[] = [];
  let sourceCalls = 0;
  for (let index = 0; index < count; index += 1) {
    const cost = await measureCost(fleet, async () => {
      const publishedAt = await fleet.publish(createChange(index));
      const adoptionTimes = await fleet.waitForVersion();
      const delaysMs = adoptionTimes.map(at => at - publishedAt);
      adoptionMs.push(...delaysMs);
      convergenceMs.push(Math.max(...delaysMs));
    });
    sourceCalls += cost.sourceCalls;
  }
  return {convergenceMs, adoptionMs, sourceCalls};
}

/** Publishes changes at a fixed interval, then waits for convergence. */
async function measureBurst(fleet: Fleet, firstIndex: number, count: number) {
  let lastPublishedAt = 0;
  let convergenceMs = 0;
  const cost = await measureCost(fleet, async () => {
    for (let index = firstIndex; index < firstIndex + count; index += 1) {
      lastPublishedAt = await fleet.publish(createChange(index));
      await sleep(BURST_INTERVAL_MS);
    }
    const adoptionTimes = await fleet.waitForVersion();
    convergenceMs = Math.max(...adoptionTimes) - lastPublishedAt;
  });
  return {cost, convergenceMs};
}

/** Kills and restarts all processes, and waits until every proxy is ready. */
async function measureRestart(fleet: Fleet) {
  const before = await fleet.readUsage();
  const startedAt = Date.now();
  await fleet.restartAll();
  await fleet.waitForVersion();
  const readyMs = Date.now() - startedAt;
  const after = await fleet.readUsage();
  // The restarted processes count from zero; the platform keeps its count.
  const afterKill = {...before, controlBytes: 0, processorMs: 0, at: startedAt};
  return {readyMs, cost: computeCost(afterKill, after, fleet.plan.size)};
}

/**
 * Starts a fleet, measures it and stops it.
 * @param children - Owns the processes.
 * @param settingsDirectory - Holds the settings files of the proxies.
 * @param plan - The fleet, and the changes and restarts to measure.
 * @returns The report.
 */
export async function measureConvergence(
  children: ChildProcesses,
  settingsDirectory: SettingsDirectory,
  plan: ConvergencePlan,
): Promise<ConvergenceReport> {
  const fleet = await Fleet.start(children, settingsDirectory, plan.fleet);
  try {
    return await measureFleet(fleet, plan);
  } finally {
    await fleet.stop();
  }
}

async function measureFleet(
  fleet: Fleet,
  plan: ConvergencePlan,
): Promise<ConvergenceReport> {
  const changes = await measureChanges(fleet, plan.changes);
  const atRest = await measureCost(fleet, () => sleep(plan.idleMs));
  const burst = await measureBurst(fleet, plan.changes, plan.burstChanges);
  const residentMb = fleet.readResidentMb();
  const startMs: number[] = [];
  for (let index = 0; index < plan.singleRestarts; index += 1) {
    startMs.push(await fleet.restartFirstHost());
  }
  const restart = plan.restartsFleet ? await measureRestart(fleet) : undefined;
  const {size, zones, proxiesPerProcess} = plan.fleet;
  const convergenceMs = [...changes.convergenceMs].sort((a, b) => a - b);
  const adoptionMs = [...changes.adoptionMs].sort((a, b) => a - b);
  return {
    size,
    zones,
    convergenceMs: {
      ...summarizeSamples(convergenceMs),
      p99: getQuantile(convergenceMs, 0.99),
    },
    adoptionMs: {
      p50: getQuantile(adoptionMs, 0.5),
      p99: getQuantile(adoptionMs, 0.99),
    },
    sourceCallsPerChange: changes.sourceCalls / plan.changes,
    atRest,
    inBurst: burst.cost,
    burstConvergenceMs: burst.convergenceMs,
    startMs: summarizeSamples(startMs),
    restart,
    residentMbEach: summarizeSamples(
      residentMb.map(mb => mb / proxiesPerProcess),
    ),
  };
}
