/** What a fleet of processes is made of. */
import * as z from 'zod';
import {
  Patch,
  PatchSchema,
  RouteSchema,
  ServiceSchema,
} from '../../model/config.js';
import {SettingsSchema} from '../../model/settings.js';
import {formatLoopbackAddress} from './ports.js';

type SettingsInput = z.input<typeof SettingsSchema>;

export interface UpstreamPlan {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Further arguments of the upstream stand-in. */
  readonly args?: readonly string[];
}

export interface FleetPlan {
  readonly region: string;
  readonly services: Readonly<Record<string, z.input<typeof ServiceSchema>>>;
  readonly routes: Readonly<Record<string, z.input<typeof RouteSchema>>>;
  readonly upstreams: readonly UpstreamPlan[];
  readonly dissemination?: SettingsInput['dissemination'];
  readonly limits?: SettingsInput['limits'];
  readonly logLevel?: SettingsInput['logLevel'];
  /** Arguments of the platform stand-in. */
  readonly platformArgs?: readonly string[];
}

/** Ports of one proxy. */
export interface ProxyPorts {
  readonly callers: number;
  readonly peers: number;
  readonly operators: number;
}

/** Where one proxy finds the others and is found. */
export interface ProxyEndpoints {
  readonly ports: ProxyPorts;
  readonly upstreamPort: number;
  readonly platformPort: number;
  readonly seeds: readonly string[];
}

/**
 * Makes the settings of one proxy.
 * @param plan - The fleet's plan.
 * @param upstream - The upstream beside the proxy.
 * @param endpoints - Ports of the proxy and of those that it talks to.
 * @returns The settings.
 */
export function createProxySettings(
  plan: FleetPlan,
  upstream: UpstreamPlan,
  endpoints: ProxyEndpoints,
): SettingsInput {
  const {region, dissemination, limits, logLevel} = plan;
  const {ports, upstreamPort, platformPort, seeds} = endpoints;
  return {
    upstreamId: upstream.id,
    region,
    zone: upstream.zone,
    listen: {
      callers: formatLoopbackAddress(ports.callers),
      peers: formatLoopbackAddress(ports.peers),
      operators: formatLoopbackAddress(ports.operators),
    },
    upstream: {address: formatLoopbackAddress(upstreamPort)},
    source: formatLoopbackAddress(platformPort),
    seeds: [...seeds],
    dissemination,
    limits,
    logLevel,
  };
}

/**
 * Makes the patch that publishes a whole plan as version 1.
 * @param plan - The plan.
 * @param ports - Ports of each upstream's proxy, in the plan's order.
 * @returns The patch.
 */
export function createInitialPatch(
  plan: FleetPlan,
  ports: readonly ProxyPorts[],
): Patch {
  const {region, services, routes} = plan;
  const upstreams = plan.upstreams.map(({id, service, zone}, index) => {
    const peerAddress = formatLoopbackAddress(ports[index].peers);
    return [id, {service, zone, region, peerAddress}];
  });
  return PatchSchema.parse({
    services,
    routes,
    upstreams: Object.fromEntries(upstreams),
  });
}
