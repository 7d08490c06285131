/**
 * Runs a fleet of proxies in a few processes, to measure how changes propagate.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {Patch} from '../model/config.js';
import {
  Child,
  ChildProcesses,
  findFreeAddresses,
  readResidentMb,
} from './child_processes.js';
import {PlatformProcess} from './platform_process.js';
import {
  createInitialPatch,
  createSettings,
  Dissemination,
  createProxyPlans,
  ProxyPlan,
  SettingsDirectory,
  tryGetStatus,
  waitForVersion,
} from './proxy_setup.js';

const HOST_SCRIPT = './proxy_host.js';
const POLL_INTERVAL_MS = 50;
const CONVERGE_TIMEOUT_MS = 60_000;

/** Seed peers in the settings of each proxy. */
const SEEDS_PER_PROXY = 4;

export interface FleetPlan {
  readonly size: number;
  readonly zones: number;
  /** Number of proxies that share one process. */
  readonly proxiesPerProcess: number;
  readonly dissemination: Dissemination;
}

/** Resources that the processes of a fleet have used since they started. */
export interface FleetUsage {
  /** Bytes sent and received on the control connections of all proxies. */
  readonly controlBytes: number;
  /** CPU time of all processes. */
  readonly processorMs: number;
  /** Calls that the platform has received. */
  readonly sourceCalls: number;
  /** Time of the reading in Unix milliseconds. */
  readonly at: number;
}

/** The JSON response of a host process on its statistics address. */
export interface HostStats {
  readonly controlBytes: number;
  /** CPU time of the process. */
  readonly processorMs: number;
}

/** A running fleet with its platform and its one upstream. */
export class Fleet {
  private hostProcesses: Child[] = [];
  private version = 0;

  private constructor(
    readonly plan: FleetPlan,
    private readonly children: ChildProcesses,
    private readonly platform: PlatformProcess,
    private readonly proxies: readonly ProxyPlan[],
    private readonly settingsPaths: readonly string[],
    private readonly upstream: Child,
  ) {}

  /**
   * Starts a platform and all proxies, and waits until all have version 1.
   * @param children - Owns the processes.
   * @param settingsDirectory - Holds the settings files of the proxies.
   * @param plan - Size and settings.
   * @returns The fleet.
   */
  static async start(
    children: ChildProcesses,
    settingsDirectory: SettingsDirectory,
    plan: FleetPlan,
  ): Promise<Fleet> {
    const [upstreamAddress] = await findFreeAddresses(1);
    const upstream = await children.startAndAwaitOutput('./fast_upstream.js', [
      upstreamAddress,
      'desk',
    ]);
    const platform = await PlatformProcess.start(children);
    const proxies = await createProxyPlans(
      plan.size,
      plan.zones,
      upstreamAddress,
    );
    const seeds = proxies.slice(0, SEEDS_PER_PROXY).map(({peers}) => peers);
    const paths = await Promise.all(
      proxies.map(proxy =>
        settingsDirectory.write(
          `${platform.address.replace(':', '-')}-${proxy.id}`,
          createSettings(proxy, platform.address, seeds, plan.dissemination),
        ),
      ),
    );
    const fleet = new Fleet(plan, children, platform, proxies, paths, upstream);
    await fleet.publish(createInitialPatch(proxies));
    try {
      await fleet.startHosts();
      await fleet.waitForVersion();
      return fleet;
    } catch (error) {
      await fleet.stop();
      throw error;
    }
  }

  /**
   * Publishes a change that is based on the latest version.
   * @param patch - The change.
   * @returns Time of the publication in Unix milliseconds.
   */
  async publish(patch: Patch): Promise<number> {
    const publishedAt = Date.now();
    await this.platform.publish(`change-${this.version}`, this.version, patch);
    this.version += 1;
    return publishedAt;
  }

  /**
   * Waits until every proxy is ready and has adopted the latest version.
   * @returns Time at which each proxy adopted it, in Unix milliseconds.
   */
  async waitForVersion(): Promise<number[]> {
    const deadline = performance.now() + CONVERGE_TIMEOUT_MS;
    const adoptedAt = new Map<string, number>();
    while (adoptedAt.size < this.proxies.length) {
      if (performance.now() > deadline) {
        throw new Error(
          `Only ${adoptedAt.size} of ${this.proxies.length} proxies adopted version ${this.version} within ${CONVERGE_TIMEOUT_MS} ms; run a smaller fleet or use a less busy machine.`,
        );
      }
      const pending = this.proxies.filter(({id}) => !adoptedAt.has(id));
      await Promise.all(
        pending.map(async ({id, operators}) => {
          const status = await tryGetStatus(operators);
          if (status?.ready === true && status.version >= this.version) {
            adoptedAt.set(id, status.adoptedAt);
          }
        }),
      );
      await sleep(POLL_INTERVAL_MS);
    }
    return [...adoptedAt.values()];
  }

  /** Kills all proxies, without a drain, and starts them again. */
  async restartAll(): Promise<void> {
    await this.stopHosts('SIGKILL');
    await this.startHosts();
  }

  /**
   * Kills the first host process, without a drain, and starts it again.
   * @returns Milliseconds from its start until its first proxy is ready.
   */
  async restartFirstHost(): Promise<number> {
    const [host] = this.hostProcesses;
    await this.children.stop(host, 'SIGKILL');
    const startedAt = performance.now();
    this.hostProcesses[0] = await this.startHost(this.groupSettingsPaths()[0]);
    await waitForVersion(this.proxies[0].operators, this.version);
    return performance.now() - startedAt;
  }

  /** @returns Usage so far; a restarted process counts from zero. */
  async readUsage(): Promise<FleetUsage> {
    const stats = await Promise.all(
      this.hostProcesses.map(host => readHostStats(host.firstLine)),
    );
    const sum = (field: keyof HostStats) =>
      stats.reduce((total, stat) => total + stat[field], 0);
    return {
      controlBytes: sum('controlBytes'),
      processorMs: sum('processorMs'),
      sourceCalls: await this.platform.countCalls(),
      at: Date.now(),
    };
  }

  /** @returns Resident memory of each host process in mebibytes. */
  readResidentMb(): number[] {
    return this.hostProcesses.map(host => readResidentMb(host.pid));
  }

  /** Stops all processes of the fleet. */
  async stop(): Promise<void> {
    await this.stopHosts('SIGKILL');
    await this.platform.stop();
    await this.children.stop(this.upstream);
  }

  private async startHosts(): Promise<void> {
    this.hostProcesses = await Promise.all(
      this.groupSettingsPaths().map(paths => this.startHost(paths)),
    );
  }

  /** @returns The settings files of each host process. */
  private groupSettingsPaths(): string[][] {
    const {proxiesPerProcess} = this.plan;
    const groups: string[][] = [];
    for (let i = 0; i < this.settingsPaths.length; i += proxiesPerProcess) {
      groups.push(this.settingsPaths.slice(i, i + proxiesPerProcess));
    }
    return groups;
  }

  private startHost(paths: readonly string[]): Promise<Child> {
    const controlPorts = [
      this.platform.address,
      ...this.proxies.map(({peers}) => peers),
    ].map(address => address.split(':')[1]);
    return this.children.startAndAwaitOutput(HOST_SCRIPT, [
      controlPorts.join(','),
      ...paths,
    ]);
  }

  private async stopHosts(signal: NodeJS.Signals): Promise<void> {
    await Promise.all(
      this.hostProcesses.map(host => this.children.stop(host, signal)),
    );
  }
}

async function readHostStats(address: string): Promise<HostStats> {
  const response = await request(`http://${address}/`);
  return (await response.body.json()) as HostStats;
}
