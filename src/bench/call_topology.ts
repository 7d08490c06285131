/**
 * The processes of a latency run: two upstreams, a proxy beside each, and the
 * same number of bare hops in front of the same upstreams.
 */
import {Pool} from 'undici';
import {Child, Children, findFreeAddresses} from './children.js';
import {Arm} from './open_loop.js';
import {Platform} from './platform.js';
import {
  createFirstPatch,
  createSettings,
  planProxies,
  ProxyPlan,
  SettingsFolder,
  waitForVersion,
} from './proxies.js';

const PROXY_SCRIPT = '../bin/fireflysill_proxy.js';

/** Connections of one arm; an open loop needs more than it uses at once. */
const ARM_CONNECTIONS = 256;

/** Calls in the longest chain. */
export const CHAIN_DEPTH = 16;

/** Names of the ways to reach the upstream `far`. */
export const ARM_NAMES = {
  direct: 'caller-upstream',
  bareOne: 'one bare hop',
  bareTwo: 'two bare hops',
  /** Entry and owner are one process. */
  own: 'entry=owner-upstream',
  pair: 'entry-owner-upstream',
} as const;

export interface CallTopology {
  readonly entry: Child;
  readonly owner: Child;
  readonly bareEntry: Child;
  readonly bareOwner: Child;
  /** Single calls, each by another way. */
  readonly arms: Readonly<Record<keyof typeof ARM_NAMES, Arm>>;
  /** Chains of {@link CHAIN_DEPTH} calls, each call by the same way. */
  readonly chains: Readonly<Record<'direct' | 'bareTwo' | 'pair', Arm>>;
}

class HttpArm implements Arm {
  private readonly pool: Pool;

  constructor(
    readonly name: string,
    address: string,
    private readonly path: string,
  ) {
    this.pool = new Pool(`http://${address}`, {connections: ARM_CONNECTIONS});
  }

  async send(): Promise<boolean> {
    const answer = await this.pool.request({method: 'GET', path: this.path});
    await answer.body.arrayBuffer();
    return answer.statusCode === 200;
  }
}

/** Starts a bare hop in front of an address. */
async function startBareHop(children: Children, next: string): Promise<Child> {
  return children.start('./bare_hop.js', [next]);
}

/**
 * Starts the processes.
 * @param children - Keeps them.
 * @param folder - Takes the settings files.
 * @returns The topology, ready to serve.
 */
export async function startCallTopology(
  children: Children,
  folder: SettingsFolder,
): Promise<CallTopology> {
  const [nearUpstream, farUpstream] = await findFreeAddresses(2);
  await children.start('./fast_upstream.js', [nearUpstream, 'near']);
  await children.start('./fast_upstream.js', [farUpstream, 'far']);
  const bareOwner = await startBareHop(children, farUpstream);
  const bareEntry = await startBareHop(children, bareOwner.firstLine);
  const bareBack = await startBareHop(children, nearUpstream);
  const bareFront = await startBareHop(children, bareBack.firstLine);
  const [a, b] = await planProxies(2, 1, nearUpstream);
  const near: ProxyPlan = {...a, service: 'near'};
  const far: ProxyPlan = {...b, service: 'far', upstream: farUpstream};
  const [entry, owner] = await startProxies(children, folder, [near, far]);
  return {
    entry,
    owner,
    bareEntry,
    bareOwner,
    arms: {
      direct: new HttpArm(ARM_NAMES.direct, farUpstream, '/far/1'),
      bareOne: new HttpArm(ARM_NAMES.bareOne, bareOwner.firstLine, '/far/1'),
      bareTwo: new HttpArm(ARM_NAMES.bareTwo, bareEntry.firstLine, '/far/1'),
      own: new HttpArm(ARM_NAMES.own, near.callers, '/near/1'),
      pair: new HttpArm(ARM_NAMES.pair, near.callers, '/far/1'),
    },
    chains: {
      direct: createChain('direct', farUpstream, nearUpstream),
      bareTwo: createChain('bareTwo', bareEntry.firstLine, bareFront.firstLine),
      pair: createChain('pair', near.callers, far.callers),
    },
  };
}

/** A chain alternates between `far` and `near`, each reached by an address. */
function createChain(
  name: keyof CallTopology['chains'],
  toFar: string,
  toNear: string,
): Arm {
  const path = `/far/deep/${CHAIN_DEPTH}?far=${toNear}/near&near=${toFar}/far`;
  return new HttpArm(`${ARM_NAMES[name]}, ${CHAIN_DEPTH} deep`, toFar, path);
}

async function startProxies(
  children: Children,
  folder: SettingsFolder,
  plans: readonly ProxyPlan[],
): Promise<Child[]> {
  const platform = await Platform.start(children);
  await platform.publish('first', 0, createFirstPatch(plans));
  const seeds = plans.map(plan => plan.peers);
  const started = plans.map(async plan => {
    const settings = createSettings(plan, platform.address, seeds);
    const path = await folder.write(plan.id, settings);
    return children.startSilent(PROXY_SCRIPT, ['--settings', path]);
  });
  const proxies = await Promise.all(started);
  await Promise.all(plans.map(plan => waitForVersion(plan.operators, 1)));
  return proxies;
}
