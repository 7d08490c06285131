/** How a change spreads, what that costs, and what a herd restart takes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Patch, RouteSchema} from '../model/config.js';
import {Children} from './children.js';
import {Fleet, FleetPlan, FleetUse} from './fleet.js';
import {SettingsFolder} from './proxies.js';
import {getQuantile, getSpread, Spread} from './stats.js';

const MS_PER_SECOND = 1_000;
const PERCENT = 100;

/** Pause between the changes of a burst. */
const BURST_GAP_MS = 100;

export interface ConvergencePlan {
  readonly fleet: FleetPlan;
  /** Changes published one after another, each after the last converged. */
  readonly changes: number;
  /** Changes published without waiting. */
  readonly burst: number;
  readonly restMs: number;
  /** Single restarts; each is a process with all its proxies. */
  readonly starts: number;
  readonly restart: boolean;
}

/** Cost of control for one proxy over a stretch of time. */
export interface ControlCost {
  readonly seconds: number;
  /** Bytes sent and received, HTTP headers included. */
  readonly bytesPerSecond: number;
  /** Share of one core. */
  readonly corePercent: number;
  /** Calls of the whole fleet. */
  readonly sourceCalls: number;
}

export interface ConvergenceReport {
  readonly size: number;
  readonly zones: number;
  /** From publication until every proxy holds the version. */
  readonly convergenceMs: Spread & {readonly p99: number};
  /** From publication until one proxy holds it, over proxies and changes. */
  readonly adoptionMs: {readonly p50: number; readonly p99: number};
  readonly sourceCallsPerChange: number;
  readonly atRest: ControlCost;
  readonly inBurst: ControlCost;
  /** From the last publication of the burst until every proxy holds it. */
  readonly burstConvergenceMs: number;
  /** From the start of one process until ready, in a fleet that runs. */
  readonly startMs: Spread;
  readonly restart?: {
    /** From the start of the processes until every proxy is ready. */
    readonly readyMs: number;
    readonly cost: ControlCost;
  };
  /** Resident memory of the processes, divided by the proxies in each. */
  readonly residentMbEach: Spread;
}

function createChange(index: number): Patch {
  const route = RouteSchema.parse({
    pathPrefix: `/desk/${index}`,
    service: 'desk',
  });
  return {routes: {[`change-${index}`]: route}};
}

function getCost(before: FleetUse, after: FleetUse, size: number): ControlCost {
  const seconds = (after.at - before.at) / MS_PER_SECOND;
  const processorMs = after.processorMs - before.processorMs;
  return {
    seconds,
    bytesPerSecond: (after.controlBytes - before.controlBytes) / seconds / size,
    corePercent: (processorMs / MS_PER_SECOND / seconds / size) * PERCENT,
    sourceCalls: after.sourceCalls - before.sourceCalls,
  };
}

/** Measures the cost of an action. */
async function measureCost(
  fleet: Fleet,
  action: () => Promise<unknown>,
): Promise<ControlCost> {
  const before = await fleet.getUse();
  await action();
  return getCost(before, await fleet.getUse(), fleet.plan.size);
}

async function measureChanges(fleet: Fleet, count: number) {
  const whole: number[] = [];
  const each: number[] = [];
  let sourceCalls = 0;
  for (let index = 0; index < count; index += 1) {
    const cost = await measureCost(fleet, async () => {
      const sentAt = await fleet.publish(createChange(index));
      const adopted = await fleet.waitForVersion();
      const delays = adopted.map(at => at - sentAt);
      each.push(...delays);
      whole.push(Math.max(...delays));
    });
    sourceCalls += cost.sourceCalls;
  }
  return {whole, each, sourceCalls};
}

async function measureBurst(fleet: Fleet, first: number, count: number) {
  let lastSentAt = 0;
  const cost = await measureCost(fleet, async () => {
    for (let index = first; index < first + count; index += 1) {
      lastSentAt = await fleet.publish(createChange(index));
      await sleep(BURST_GAP_MS);
    }
    const adopted = await fleet.waitForVersion();
    lastSentAt = Math.max(...adopted) - lastSentAt;
  });
  return {cost, convergenceMs: lastSentAt};
}

async function measureRestart(fleet: Fleet) {
  const before = await fleet.getUse();
  const startedAt = Date.now();
  await fleet.restartAll();
  await fleet.waitForVersion();
  const readyMs = Date.now() - startedAt;
  const after = await fleet.getUse();
  // Processes begin their counts anew; the platform's go on.
  const begin = {...before, controlBytes: 0, processorMs: 0, at: startedAt};
  return {readyMs, cost: getCost(begin, after, fleet.plan.size)};
}

/**
 * Measures one fleet.
 * @param children - Keeps the processes.
 * @param folder - Takes the settings files.
 * @param plan - Fleet, changes and lengths.
 * @returns The report; the fleet has ended.
 */
export async function measureConvergence(
  children: Children,
  folder: SettingsFolder,
  plan: ConvergencePlan,
): Promise<ConvergenceReport> {
  const fleet = await Fleet.start(children, folder, plan.fleet);
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
  const atRest = await measureCost(fleet, () => sleep(plan.restMs));
  const burst = await measureBurst(fleet, plan.changes, plan.burst);
  const residentMb = fleet.getResidentMb();
  const startMs: number[] = [];
  for (let index = 0; index < plan.starts; index += 1) {
    startMs.push(await fleet.restartOne());
  }
  const restart = plan.restart ? await measureRestart(fleet) : undefined;
  const {size, zones, proxiesPerProcess} = plan.fleet;
  const whole = [...changes.whole].sort((a, b) => a - b);
  const each = [...changes.each].sort((a, b) => a - b);
  return {
    size,
    zones,
    convergenceMs: {...getSpread(whole), p99: getQuantile(whole, 0.99)},
    adoptionMs: {p50: getQuantile(each, 0.5), p99: getQuantile(each, 0.99)},
    sourceCallsPerChange: changes.sourceCalls / plan.changes,
    atRest,
    inBurst: burst.cost,
    burstConvergenceMs: burst.convergenceMs,
    startMs: getSpread(startMs),
    restart,
    residentMbEach: getSpread(residentMb.map(mb => mb / proxiesPerProcess)),
  };
}
