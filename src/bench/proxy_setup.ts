/**
 * Creates the settings and the configuration of proxies, and polls their
 * status.
 */
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

/** Dissemination settings that differ from the defaults. */
export type Dissemination = Partial<Settings['dissemination']>;

/** The settings in which the proxies of a run differ. */
export interface ProxyPlan {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly service: string;
  /** Listen address for callers. */
  readonly callers: string;
  /** Listen address for peers. */
  readonly peers: string;
  /** Listen address for operators. */
  readonly operators: string;
  /** Address of the upstream. */
  readonly upstream: string;
}

/** Limits so high that admission control has no effect on the measurements. */
export const HIGH_LIMIT_SERVICE: Service = {
  slots: 1_000,
  connections: 2_000,
  queue: 1_000,
  keyLifetimeMs: 600_000,
  retryBudgetPercent: 10,
  slowStartMs: 0,
};

/**
 * Plans proxies that are distributed evenly over zones.
 * @param count - Number of proxies.
 * @param zones - Number of zones; the second half belongs to a second region.
 * @param upstream - Address of the upstream that all proxies share.
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
 * Creates the settings of a proxy.
 * @param plan - The proxy.
 * @param source - Address of the platform.
 * @param seeds - Peer addresses of the seeds; the proxy's own is left out.
 * @param dissemination - Settings that differ from the defaults.
 * @returns The validated settings.
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
 * Creates the patch that adds all services, upstreams and routes.
 * @param plans - All proxies; each service gets the route `/SERVICE`.
 * @returns The patch, based on version 0.
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

/** A temporary directory for settings files. */
export class SettingsDirectory {
  private constructor(private readonly path: string) {}

  /** @returns A new directory below the system's temporary directory. */
  static async create(): Promise<SettingsDirectory> {
    return new SettingsDirectory(await mkdtemp(join(tmpdir(), 'fireflysill-')));
  }

  /**
   * Writes a JSON file.
   * @param name - File name without the extension.
   * @param value - Value to write as JSON.
   * @returns The path of the file.
   */
  async write(name: string, value: unknown): Promise<string> {
    const path = join(this.path, `${name}.json`);
    await writeFile(path, JSON.stringify(value));
    return path;
  }

  /** Deletes the directory with all its files. */
  async remove(): Promise<void> {
    await rm(this.path, {recursive: true});
  }
}

/** The part of a proxy's status that the bench reads. */
export interface BenchStatus {
  readonly ready: boolean;
  readonly version: number;
  readonly sequence: number;
  /** Time at which the version was adopted, in Unix milliseconds. */
  readonly adoptedAt: number;
}

/**
 * Reads the status of a proxy.
 * @param operators - Its listen address for operators.
 * @returns The status, or undefined if the proxy does not answer.
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
 * Waits until a proxy is ready and has adopted a version. Rejects after 30
 * seconds.
 * @param operators - Its listen address for operators.
 * @param version - The lowest version to wait for.
 * @returns The status of the proxy.
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
        `The proxy at ${operators} was not ready at version ${version} after ${READY_TIMEOUT_MS} ms; its last status: ${JSON.stringify(status)?.slice(0, 400)}`,
      );
    }
    await sleep(READY_POLL_INTERVAL_MS);
  }
}
