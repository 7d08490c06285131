/** Plan of a fleet, and the settings and the patch that follow from it. */
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
  /** Additional arguments of the upstream stand-in. */
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

/** Listening ports of one proxy. */
export interface ProxyPorts {
  readonly callers: number;
  readonly peers: number;
  readonly operators: number;
}

/** Ports of one proxy and addresses of the processes that it connects to. */
export interface ProxyEndpoints {
  readonly ports: ProxyPorts;
  readonly upstreamPort: number;
  readonly platformPort: number;
  readonly seeds: readonly string[];
}

/**
 * Creates the settings of one proxy.
 * @param plan - Plan of the fleet.
 * @param upstream - Plan of the upstream that the proxy serves.
 * @param endpoints - Ports and addresses of the proxy.
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
 * Creates the patch that publishes a plan as version 1.
 * @param plan - The plan.
 * @param ports - Ports of the proxies, in the order of `plan.upstreams`.
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
