/** A whole fleet as child processes: platform, upstreams and proxies. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Patch} from '../../model/config.js';
import {JournalEntry} from '../upstream/journal.js';
import {createFirstPatch, FleetPlan, UpstreamPlan} from './fleet_plan.js';
import {loopback, PortReservation, reservePorts} from './ports.js';
import {ProxyProcess} from './proxy_process.js';
import {PlatformProcess, UpstreamProcess} from './standin_process.js';

const PORTS_PER_PROXY = 3;
const SEEDS = 3;

/** An upstream with the proxy beside it. */
export interface FleetNode {
  readonly id: string;
  readonly service: string;
  readonly upstream: UpstreamProcess;
  readonly proxy: ProxyProcess;
}

export class Fleet {
  private lastStartAt = 0;

  private constructor(
    readonly platform: PlatformProcess,
    readonly nodes: readonly FleetNode[],
    /** Publishes the whole plan as version 1. */
    readonly firstPatch: Patch,
    private readonly dir: string,
    private readonly reservation: PortReservation,
  ) {}

  /**
   * Starts platform and upstreams, and prepares the proxies.
   * @param plan - What the fleet is made of.
   * @returns The fleet; its proxies are not started yet.
   */
  static async prepare(plan: FleetPlan): Promise<Fleet> {
    const count = plan.upstreams.length;
    const dir = await mkdtemp(join(tmpdir(), 'fireflysill-'));
    const reservation = await reservePorts(count * PORTS_PER_PROXY);
    const platform = await PlatformProcess.start(plan.platformArgs);
    const upstreams = await Promise.all(
      plan.upstreams.map(({id, args}) => UpstreamProcess.start(id, args)),
    );
    const peers = plan.upstreams.map((_, index) =>
      loopback(reservation.ports[index * PORTS_PER_PROXY + 1]),
    );
    const nodes = plan.upstreams.map((upstreamPlan, index): FleetNode => {
      const from = index * PORTS_PER_PROXY;
      const ports = reservation.ports.slice(from, from + PORTS_PER_PROXY);
      const upstream = upstreams[index];
      const source = loopback(platform.ports.port);
      const proxy = createProxy(
        plan,
        upstreamPlan,
        ports,
        loopback(upstream.ports.port),
        source,
        peers.slice(0, SEEDS),
        dir,
      );
      return {...upstreamPlan, upstream, proxy};
    });
    const addresses = plan.upstreams.map(({id}, i) => [id, peers[i]] as const);
    const firstPatch = createFirstPatch(plan, new Map(addresses));
    return new Fleet(platform, nodes, firstPatch, dir, reservation);
  }

  /**
   * Starts a fleet that holds its plan as version 1.
   * @param plan - What the fleet is made of.
   * @returns The fleet, with all proxies ready.
   */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = await Fleet.prepare(plan);
    await fleet.publish('first', 0, fleet.firstPatch);
    await fleet.startProxies();
    return fleet;
  }

  /** Starts all proxies and waits until they serve callers. */
  async startProxies(): Promise<void> {
    await this.reservation.release();
    await Promise.all(this.nodes.map(({proxy}) => proxy.start()));
    await Promise.all(this.nodes.map(({proxy}) => proxy.untilReady()));
    this.lastStartAt = Date.now();
  }

  /** @returns When all proxies had started, in Unix milliseconds. */
  get startedAt(): number {
    return this.lastStartAt;
  }

  /**
   * Finds a node.
   * @param id - Name of its upstream.
   * @returns The node. Throws for an unknown name.
   */
  getNode(id: string): FleetNode {
    const node = this.nodes.find(candidate => candidate.id === id);
    if (node === undefined) {
      throw new Error(`No node ${id}; there are ${this.listIds()}.`);
    }
    return node;
  }

  /**
   * Publishes a submission.
   * @param id - Its identifier.
   * @param base - Version that the operator had seen.
   * @param patch - The change, checked by the proxies only.
   * @returns Its sequence number.
   */
  publish(id: string, base: number, patch: unknown): Promise<number> {
    return this.platform.publish({id, base, patch});
  }

  /** @returns What all upstreams have journalled so far. */
  async readJournal(): Promise<readonly JournalEntry[]> {
    await Promise.all(
      this.nodes.map(({upstream}) => upstream.refreshJournal()),
    );
    return this.nodes.flatMap(({upstream}) => upstream.getJournal());
  }

  /** Ends all processes and removes the settings files. */
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

function createProxy(
  plan: FleetPlan,
  {id, zone}: UpstreamPlan,
  [callers, peers, operators]: readonly number[],
  upstreamAddress: string,
  source: string,
  seeds: string[],
  dir: string,
): ProxyProcess {
  const settings = {
    upstreamId: id,
    region: plan.region,
    zone,
    listen: {
      callers: loopback(callers),
      peers: loopback(peers),
      operators: loopback(operators),
    },
    upstream: {address: upstreamAddress},
    source,
    seeds,
    dissemination: plan.dissemination,
    limits: plan.limits,
    logLevel: plan.logLevel,
  };
  return new ProxyProcess(settings, {callers, peers, operators}, dir);
}
