/** What a fleet of processes is made of. */
import {z} from 'zod';
import {
  Patch,
  PatchSchema,
  RouteSchema,
  ServiceSchema,
} from '../../model/config.js';
import {SettingsSchema} from '../../model/settings.js';

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

/**
 * Makes the patch that publishes a whole plan as version 1.
 * @param plan - The plan.
 * @param peerAddresses - Peer address of each upstream's proxy.
 * @returns The patch.
 */
export function createFirstPatch(
  plan: FleetPlan,
  peerAddresses: ReadonlyMap<string, string>,
): Patch {
  const upstreams = Object.fromEntries(
    plan.upstreams.map(({id, service, zone}) => [
      id,
      {service, zone, region: plan.region, peerAddress: peerAddresses.get(id)},
    ]),
  );
  const {services, routes} = plan;
  return PatchSchema.parse({services, routes, upstreams});
}
