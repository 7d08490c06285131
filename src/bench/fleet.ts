/** A fleet of proxies in a few processes, for measuring how changes spread. */
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

/** Peers that each proxy asks first at its start. */
const SEEDS_PER_PROXY = 4;

export interface FleetPlan {
  readonly size: number;
  readonly zones: number;
  /** Proxies that share one process; 1 gives each its own. */
  readonly proxiesPerProcess: number;
  readonly dissemination: Dissemination;
}

/** What the processes of a fleet have used so far. */
export interface FleetUsage {
  /** Bytes sent and received by control connections of all proxies. */
  readonly controlBytes: number;
  readonly processorMs: number;
  readonly sourceCalls: number;
  /** Unix milliseconds at which this was read. */
  readonly at: number;
}

/** What a host process answers on its statistics address. */
export interface HostStats {
  readonly controlBytes: number;
  readonly processorMs: number;
}

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
   * Starts a platform and all proxies, and waits until all hold version 1.
   * @param children - Keeps the processes.
   * @param folder - Takes the settings files.
   * @param plan - Size and settings.
   * @returns The fleet.
   */
  static async start(
    children: ChildProcesses,
    folder: SettingsDirectory,
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
        folder.write(
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
   * Publishes a change against the latest version.
   * @param patch - The change.
   * @returns When it was sent, in Unix milliseconds.
   */
  async publish(patch: Patch): Promise<number> {
    const publishedAt = Date.now();
    await this.platform.publish(`change-${this.version}`, this.version, patch);
    this.version += 1;
    return publishedAt;
  }

  /**
   * Waits until every proxy is ready and holds the latest version.
   * @returns When each put it in force, in Unix milliseconds.
   */
  async waitForVersion(): Promise<number[]> {
    const deadline = performance.now() + CONVERGE_TIMEOUT_MS;
    const adoptedAt = new Map<string, number>();
    while (adoptedAt.size < this.proxies.length) {
      if (performance.now() > deadline) {
        throw new Error(
          `${adoptedAt.size} of ${this.proxies.length} proxies reached version ${this.version}.`,
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

  /** Ends all proxies without a drain and starts them again. */
  async restartAll(): Promise<void> {
    await this.stopHosts('SIGKILL');
    await this.startHosts();
  }

  /**
   * Ends one process without a drain and starts it again.
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

  /** @returns What has been used so far; a restart begins anew. */
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

  /** @returns Resident memory of each process, in megabytes. */
  readResidentMb(): number[] {
    return this.hostProcesses.map(host => readResidentMb(host.pid));
  }

  /** Ends all processes of the fleet. */
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
