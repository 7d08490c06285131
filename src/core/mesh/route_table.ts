/** Finds the route of a call: by host, then by the longest matching prefix. */
import {MeshConfig, MeshRoute} from '../../model/mesh.js';

export interface MeshRouteTable {
  readonly version: number;
  /** Routes of one host, longest prefix first. */
  readonly byHost: ReadonlyMap<string, readonly MeshRoute[]>;
}

/**
 * Prepares a configuration for look-ups.
 * @param config - A checked configuration.
 * @returns The table.
 */
export function createMeshRouteTable(config: MeshConfig): MeshRouteTable {
  const byHost = new Map<string, MeshRoute[]>();
  for (const route of config.routes) {
    const host = route.host.toLowerCase();
    const routes = byHost.get(host) ?? [];
    routes.push(route);
    byHost.set(host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return {version: config.version, byHost};
}

/**
 * Finds the route of a call.
 * @param table - The routes in force.
 * @param hostHeader - The caller's `Host` header, with or without a port.
 * @param target - Path and query of the call.
 * @returns The route, or undefined where none matches.
 */
export function findMeshRoute(
  table: MeshRouteTable,
  hostHeader: string,
  target: string,
): MeshRoute | undefined {
  const host = hostHeader.toLowerCase().replace(/:\d+$/, '');
  const query = target.indexOf('?');
  const path = query < 0 ? target : target.slice(0, query);
  return table.byHost
    .get(host)
    ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
}

/**
 * Chooses one of a route's services in proportion to their weights.
 * @param route - The route.
 * @param entropy - A random unsigned 32-bit integer.
 * @returns The service's name.
 */
export function chooseBackend(route: MeshRoute, entropy: number): string {
  const {backends} = route;
  const total = backends.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = (entropy / 2 ** 32) * total;
  for (const {service, weight} of backends) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return backends[0].service;
}
