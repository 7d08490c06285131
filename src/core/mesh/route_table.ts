/** Finds the route of a call by its host and the longest matching path prefix. */
import {MeshConfig, MeshRoute} from '../../model/mesh.js';

/** Routes of a configuration, indexed by host. */
export interface MeshRouteTable {
  readonly version: number;
  /** Routes by lower-case host, longest path prefix first. */
  readonly byHost: ReadonlyMap<string, readonly MeshRoute[]>;
}

/**
 * Creates the route table of a configuration.
 * @param config - A validated configuration.
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
 * @param table - The routes of the adopted configuration.
 * @param hostHeader - The caller's `Host` header, with or without a port.
 * @param target - The request target: path and query.
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
 * Chooses one of a route's back ends at random, in proportion to its weight.
 * @param route - The route.
 * @param entropy - A random unsigned 32-bit integer.
 * @returns The name of the back end's service.
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
