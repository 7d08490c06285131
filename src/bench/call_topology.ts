/**
 * Starts the processes of the latency measurements: two upstreams, a proxy in
 * front of each, and as many bare hops in front of the same upstreams.
 */
import {Pool} from 'undici';
import {Child, ChildProcesses, findFreeAddresses} from './child_processes.js';
import {Arm} from './open_loop.js';
import {PlatformProcess} from './platform_process.js';
import {
  createInitialPatch,
  createSettings,
  createProxyPlans,
  ProxyPlan,
  SettingsDirectory,
  waitForVersion,
} from './proxy_setup.js';

const PROXY_SCRIPT = '../bin/fireflysill_proxy.js';

/**
 * Open-loop requests do not wait for each other, so that the limit has to be
 * above the number of requests that are in flight at the same time.
 */
const CONNECTIONS_PER_ARM = 256;

/** Calls in one chain. */
export const CHAIN_DEPTH = 16;

/** Names of the arms, each a path from the caller to an upstream. */
export const ARM_NAMES = {
  direct: 'caller-upstream',
  bareOne: 'one bare hop',
  bareTwo: 'two bare hops',
  /** One process is both entry and owner. */
  own: 'entry=owner-upstream',
  pair: 'entry-owner-upstream',
} as const;

export interface CallTopology {
  readonly entry: Child;
  readonly owner: Child;
  readonly bareEntry: Child;
  readonly bareOwner: Child;
  /** Single calls, one arm for each path. */
  readonly arms: Readonly<Record<keyof typeof ARM_NAMES, Arm>>;
  /** Chains of {@link CHAIN_DEPTH} nested calls that all take the same path. */
  readonly chains: Readonly<Record<'direct' | 'bareTwo' | 'pair', Arm>>;
}

/** Sends GET requests to one address and path. */
class HttpGetArm implements Arm {
  private readonly pool: Pool;

  constructor(
    readonly name: string,
    address: string,
    private readonly path: string,
  ) {
    this.pool = new Pool(`http://${address}`, {
      connections: CONNECTIONS_PER_ARM,
    });
  }

  async send(): Promise<boolean> {
    const response = await this.pool.request({method: 'GET', path: this.path});
    await response.body.arrayBuffer();
    return response.statusCode === 200;
  }
}

/** Starts a bare hop in front of an address. */
async function startBareHop(
  children: ChildProcesses,
  nextAddress: string,
): Promise<Child> {
  return children.startAndAwaitOutput('./bare_hop.js', [nextAddress]);
}

/**
 * Starts the processes of a {@link CallTopology}.
 * @param children - Owns the processes.
 * @param settingsDirectory - Holds the settings files of the proxies.
 * @returns The topology, ready to serve calls.
 */
export async function startCallTopology(
  children: ChildProcesses,
  settingsDirectory: SettingsDirectory,
): Promise<CallTopology> {
  const [nearUpstream, farUpstream] = await findFreeAddresses(2);
  await children.startAndAwaitOutput('./fast_upstream.js', [
    nearUpstream,
    'near',
  ]);
  await children.startAndAwaitOutput('./fast_upstream.js', [
    farUpstream,
    'far',
  ]);
  const farBareOwner = await startBareHop(children, farUpstream);
  const farBareEntry = await startBareHop(children, farBareOwner.firstLine);
  const nearBareOwner = await startBareHop(children, nearUpstream);
  const nearBareEntry = await startBareHop(children, nearBareOwner.firstLine);
  const [nearPlan, farPlan] = await createProxyPlans(2, 1, nearUpstream);
  const near: ProxyPlan = {...nearPlan, service: 'near'};
  const far: ProxyPlan = {...farPlan, service: 'far', upstream: farUpstream};
  const [entry, owner] = await startProxies(children, settingsDirectory, [
    near,
    far,
  ]);
  return {
    entry,
    owner,
    bareEntry: farBareEntry,
    bareOwner: farBareOwner,
    arms: {
      direct: new HttpGetArm(ARM_NAMES.direct, farUpstream, '/far/1'),
      bareOne: new HttpGetArm(
        ARM_NAMES.bareOne,
        farBareOwner.firstLine,
        '/far/1',
      ),
      bareTwo: new HttpGetArm(
        ARM_NAMES.bareTwo,
        farBareEntry.firstLine,
        '/far/1',
      ),
      own: new HttpGetArm(ARM_NAMES.own, near.callers, '/near/1'),
      pair: new HttpGetArm(ARM_NAMES.pair, near.callers, '/far/1'),
    },
    chains: {
      direct: createChainArm('direct', farUpstream, nearUpstream),
      bareTwo: createChainArm(
        'bareTwo',
        farBareEntry.firstLine,
        nearBareEntry.firstLine,
      ),
      pair: createChainArm('pair', near.callers, far.callers),
    },
  };
}

/**
 * Creates an arm whose calls alternate between the upstreams `far` and `near`.
 * @param name - Name of the single-call arm that takes the same path.
 * @param farAddress - Where to send the calls to `far`.
 * @param nearAddress - Where to send the calls to `near`.
 * @returns The arm.
 */
function createChainArm(
  name: keyof CallTopology['chains'],
  farAddress: string,
  nearAddress: string,
): Arm {
  const path = `/far/deep/${CHAIN_DEPTH}?far=${nearAddress}/near&near=${farAddress}/far`;
  return new HttpGetArm(
    `${ARM_NAMES[name]}, ${CHAIN_DEPTH} deep`,
    farAddress,
    path,
  );
}

/**
 * Starts a platform and proxies, and waits until all have the first version.
 */
async function startProxies(
  children: ChildProcesses,
  settingsDirectory: SettingsDirectory,
  plans: readonly ProxyPlan[],
): Promise<Child[]> {
  const platform = await PlatformProcess.start(children);
  await platform.publish('first', 0, createInitialPatch(plans));
  const seeds = plans.map(plan => plan.peers);
  const started = plans.map(async plan => {
    const settings = createSettings(plan, platform.address, seeds);
    const path = await settingsDirectory.write(plan.id, settings);
    return children.spawnScript(PROXY_SCRIPT, ['--settings', path]);
  });
  const proxies = await Promise.all(started);
  await Promise.all(plans.map(plan => waitForVersion(plan.operators, 1)));
  return proxies;
}
