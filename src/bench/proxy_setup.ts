/** Proxies of a bench run: their settings, processes and configuration. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {Patch, PatchSchema, Service} from '../model/config.js';
import {Settings, SettingsSchema} from '../model/settings.js';
import {findFreeAddresses} from './child_processes.js';

const READY_POLL_INTERVAL_MS = 10;
const READY_TIMEOUT_MS = 30_000;
const ADDRESSES_PER_PROXY = 3;

export type Dissemination = Partial<Settings['dissemination']>;

/** What tells one proxy of a run from the others. */
export interface ProxyPlan {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly service: string;
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
  readonly upstream: string;
}

/** Limits wide enough that admission does not decide a latency run. */
export const HIGH_LIMIT_SERVICE: Service = {
  slots: 1_000,
  connections: 2_000,
  queue: 1_000,
  keyLifetimeMs: 600_000,
  retryBudgetPercent: 10,
  slowStartMs: 0,
};

/**
 * Plans proxies that are spread evenly over zones.
 * @param count - How many.
 * @param zones - Number of zones; the later half belongs to a second region.
 * @param upstream - Address of the upstream that all of them share.
 * @returns The plans, with free addresses.
 */
export async function createProxyPlans(
  count: number,
  zones: number,
  upstream: string,
): Promise<ProxyPlan[]> {
  const addresses = await findFreeAddresses(count * ADDRESSES_PER_PROXY);
  return Array.from({length: count}, (_, index) => {
    const zone = index % zones;
    const [callers, peers, operators] = addresses.slice(
      index * ADDRESSES_PER_PROXY,
      (index + 1) * ADDRESSES_PER_PROXY,
    );
    return {
      id: `vm-${index}`,
      zone: `zone-${zone}`,
      region: zone >= Math.ceil(zones / 2) ? 'region-1' : 'region-0',
      service: 'desk',
      callers,
      peers,
      operators,
      upstream,
    };
  });
}

/**
 * Makes the settings of a proxy.
 * @param plan - The proxy.
 * @param source - Address of the platform.
 * @param seeds - Peer addresses to ask first.
 * @param dissemination - Settings that differ from the defaults.
 * @returns The checked settings.
 */
export function createSettings(
  plan: ProxyPlan,
  source: string,
  seeds: readonly string[],
  dissemination: Dissemination = {},
): Settings {
  return SettingsSchema.parse({
    upstreamId: plan.id,
    region: plan.region,
    zone: plan.zone,
    listen: {
      callers: plan.callers,
      peers: plan.peers,
      operators: plan.operators,
    },
    upstream: {address: plan.upstream},
    source,
    seeds: seeds.filter(seed => seed !== plan.peers),
    dissemination,
    logLevel: 'error',
  });
}

/**
 * Makes the patch that brings services, upstreams and routes into being.
 * @param plans - All proxies; each service gets the route `/SERVICE`.
 * @returns The patch against version 0.
 */
export function createInitialPatch(plans: readonly ProxyPlan[]): Patch {
  const serviceNames = [...new Set(plans.map(plan => plan.service))];
  return PatchSchema.parse({
    services: Object.fromEntries(
      serviceNames.map(name => [name, HIGH_LIMIT_SERVICE]),
    ),
    upstreams: Object.fromEntries(
      plans.map(({id, service, region, zone, peers}) => [
        id,
        {service, region, zone, peerAddress: peers},
      ]),
    ),
    routes: Object.fromEntries(
      serviceNames.map(name => [name, {pathPrefix: `/${name}`, service: name}]),
    ),
  });
}

/** A folder for settings files, removed at the end of a run. */
export class SettingsDirectory {
  private constructor(private readonly path: string) {}

  static async create(): Promise<SettingsDirectory> {
    return new SettingsDirectory(await mkdtemp(join(tmpdir(), 'fireflysill-')));
  }

  /**
   * Writes a file.
   * @param name - Its name.
   * @param value - Its JSON value.
   * @returns Its path.
   */
  async write(name: string, value: unknown): Promise<string> {
    const path = join(this.path, `${name}.json`);
    await writeFile(path, JSON.stringify(value));
    return path;
  }

  async remove(): Promise<void> {
    await rm(this.path, {recursive: true});
  }
}

/** The part of a proxy's status that the bench reads. */
export interface BenchStatus {
  readonly ready: boolean;
  readonly version: number;
  readonly sequence: number;
  /** Unix milliseconds. */
  readonly adoptedAt: number;
}

/**
 * Reads the status of a proxy.
 * @param operators - Its operators' address.
 * @returns The status, or undefined where it does not answer.
 */
export async function tryGetStatus(
  operators: string,
): Promise<BenchStatus | undefined> {
  try {
    const response = await request(`http://${operators}/v1/status`);
    return (await response.body.json()) as BenchStatus;
  } catch {
    return undefined;
  }
}

/**
 * Waits until a proxy is ready and holds a version.
 * @param operators - Its operators' address.
 * @param version - The version.
 * @returns Its status. Rejects after 30 seconds.
 */
export async function waitForVersion(
  operators: string,
  version: number,
): Promise<BenchStatus> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    const status = await tryGetStatus(operators);
    if (status?.ready === true && status.version >= version) {
      return status;
    }
    if (performance.now() > deadline) {
      throw new Error(
        `${operators} did not reach version ${version}: ${JSON.stringify(status)?.slice(0, 400)}`,
      );
    }
    await sleep(READY_POLL_INTERVAL_MS);
  }
}
