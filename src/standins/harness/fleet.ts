/** A fleet of child processes: platform, upstreams and proxies. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Patch} from '../../model/config.js';
import {JournalEntry} from '../upstream/journal.js';
import {
  createInitialPatch,
  createProxySettings,
  FleetPlan,
  ProxyPorts,
} from './fleet_plan.js';
import {formatLoopbackAddress, PortReservation, reservePorts} from './ports.js';
import {ProxyProcess} from './proxy_process.js';
import {PlatformProcess, UpstreamProcess} from './standin_process.js';

const PORTS_PER_PROXY = 3;
const SEED_COUNT = 3;

/** An upstream and its proxy. */
export interface FleetNode {
  readonly id: string;
  readonly service: string;
  readonly upstream: UpstreamProcess;
  readonly proxy: ProxyProcess;
}

export class Fleet {
  private proxiesStartedAt = 0;

  private constructor(
    readonly platform: PlatformProcess,
    readonly nodes: readonly FleetNode[],
    /** Patch that publishes the plan as version 1. */
    readonly initialPatch: Patch,
    private readonly dir: string,
    private readonly reservation: PortReservation,
  ) {}

  /**
   * Starts the platform and the upstreams, and reserves the ports of the
   * proxies.
   * @param plan - The plan.
   * @returns The fleet. Its proxies are not started yet.
   */
  static async prepare(plan: FleetPlan): Promise<Fleet> {
    const reservation = await reservePorts(
      plan.upstreams.length * PORTS_PER_PROXY,
    );
    const dir = await mkdtemp(join(tmpdir(), 'fireflysill-'));
    const platform = await PlatformProcess.start(plan.platformArgs);
    const upstreams = await Promise.all(
      plan.upstreams.map(({id, args}) => UpstreamProcess.start(id, args)),
    );
    const ports = assignPorts(reservation.ports);
    const seeds = ports
      .slice(0, SEED_COUNT)
      .map(({peers}) => formatLoopbackAddress(peers));
    const nodes = plan.upstreams.map((upstreamPlan, index): FleetNode => {
      const settings = createProxySettings(plan, upstreamPlan, {
        ports: ports[index],
        upstreamPort: upstreams[index].ports.port,
        platformPort: platform.ports.port,
        seeds,
      });
      const proxy = new ProxyProcess(settings, ports[index], dir);
      return {...upstreamPlan, upstream: upstreams[index], proxy};
    });
    const initialPatch = createInitialPatch(plan, ports);
    return new Fleet(platform, nodes, initialPatch, dir, reservation);
  }

  /**
   * Starts a fleet whose plan is published as version 1.
   * @param plan - The plan.
   * @returns The fleet, with all proxies ready.
   */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = await Fleet.prepare(plan);
    await fleet.publish('first', 0, fleet.initialPatch);
    await fleet.startProxies();
    return fleet;
  }

  /** Starts all proxies and waits until they are ready. */
  async startProxies(): Promise<void> {
    await this.reservation.release();
    await Promise.all(this.nodes.map(({proxy}) => proxy.start()));
    await Promise.all(this.nodes.map(({proxy}) => proxy.waitUntilReady()));
    this.proxiesStartedAt = Date.now();
  }

  /** @returns Time at which all proxies were ready, in Unix milliseconds. */
  get startedAt(): number {
    return this.proxiesStartedAt;
  }

  /**
   * Gets a node.
   * @param id - Name of its upstream.
   * @returns The node. Throws if there is no upstream of this name.
   */
  getNode(id: string): FleetNode {
    const node = this.nodes.find(candidate => candidate.id === id);
    if (node === undefined) {
      throw new Error(
        `The fleet has no node ${id}. Its nodes are ${this.listIds()}.`,
      );
    }
    return node;
  }

  /**
   * Publishes a submission.
   * @param id - Identifier of the submission.
   * @param base - Configuration version that the patch was written for.
   * @param patch - The patch. Only the proxies validate it.
   * @returns Sequence number of the submission.
   */
  publish(id: string, base: number, patch: unknown): Promise<number> {
    return this.platform.publish({id, base, patch});
  }

  /** @returns Journal entries of all upstreams so far. */
  async readJournal(): Promise<readonly JournalEntry[]> {
    await Promise.all(
      this.nodes.map(({upstream}) => upstream.refreshJournal()),
    );
    return this.nodes.flatMap(({upstream}) => upstream.getJournal());
  }

  /** Kills all processes and removes the settings files. */
  async stop(): Promise<void> {
    const proxies = this.nodes
      .filter(({proxy}) => proxy.isStarted)
      .map(({proxy}) => proxy.child.kill());
    const upstreams = this.nodes.map(({upstream}) => upstream.child.kill());
    await Promise.all([...proxies, ...upstreams, this.platform.child.kill()]);
    await rm(this.dir, {recursive: true, force: true});
  }

  private listIds(): string {
    return this.nodes.map(({id}) => id).join(', ');
  }
}

/** Splits the reserved ports into the ports of each proxy. */
function assignPorts(ports: readonly number[]): ProxyPorts[] {
  const groups: ProxyPorts[] = [];
  for (let from = 0; from < ports.length; from += PORTS_PER_PROXY) {
    const [callers, peers, operators] = ports.slice(from);
    groups.push({callers, peers, operators});
  }
  return groups;
}
