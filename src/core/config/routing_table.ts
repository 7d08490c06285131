/**
 * The routing table: lookup structures that are built once for each version and
 * replaced as a whole.
 */
import * as B from 'fp-ts/lib/boolean.js';
import {pipe} from 'fp-ts/lib/function.js';
import {concatAll} from 'fp-ts/lib/Monoid.js';
import * as N from 'fp-ts/lib/number.js';
import {contramap, getMonoid, Ord, reverse} from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';
import {Config, Route, Service, Upstream} from '../../model/config.js';

/** Methods that a `by-method` route treats as idempotent. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

/** An upstream with its identifier. */
export interface UpstreamTarget extends Upstream {
  readonly id: string;
}

/** A service with its name and upstreams. */
export interface ServiceTargets extends Service {
  readonly name: string;
  /** Sorted by identifier. */
  readonly upstreams: readonly UpstreamTarget[];
  readonly upstreamIds: readonly string[];
}

/** A route with its identifier and service. */
export interface RouteTarget extends Route {
  readonly id: string;
  readonly target: ServiceTargets;
}

/** The routing table of one configuration version. */
export interface RoutingTable {
  readonly version: number;
  readonly services: ReadonlyMap<string, ServiceTargets>;
  readonly upstreams: ReadonlyMap<string, UpstreamTarget>;
  /** The most specific route first; hosts are in lower case. */
  readonly routes: readonly RouteTarget[];
}

/**
 * Creates the routing table of one version.
 * @param version - The version.
 * @param config - Its configuration, whose references have been checked.
 * @returns The table.
 */
export function createRoutingTable(
  version: number,
  config: Config,
): RoutingTable {
  const upstreams = new Map<string, UpstreamTarget>();
  for (const id of Object.keys(config.upstreams).sort()) {
    upstreams.set(id, {...config.upstreams[id], id});
  }
  const services = new Map<string, ServiceTargets>();
  for (const [name, service] of Object.entries(config.services)) {
    const members = [...upstreams.values()].filter(u => u.service === name);
    const upstreamIds = members.map(({id}) => id);
    // One connection is reserved for health probes.
    const slots = Math.min(service.slots, service.connections - 1);
    services.set(name, {
      ...service,
      slots,
      name,
      upstreams: members,
      upstreamIds,
    });
  }
  const routes: RouteTarget[] = [];
  for (const [id, route] of Object.entries(config.routes)) {
    const target = services.get(route.service);
    if (target !== undefined) {
      routes.push({...route, host: route.host?.toLowerCase(), id, target});
    }
  }
  return {
    version,
    services,
    upstreams,
    routes: RA.sort(BY_SPECIFICITY)(routes),
  };
}

/**
 * Orders the most specific route first: longer prefix, then with a host, then
 * with methods, then by identifier.
 */
const BY_SPECIFICITY: Ord<RouteTarget> = concatAll(getMonoid<RouteTarget>())([
  pipe(
    reverse(N.Ord),
    contramap(({pathPrefix}: RouteTarget) => pathPrefix.length),
  ),
  pipe(
    reverse(B.Ord),
    contramap(({host}: RouteTarget) => host !== undefined),
  ),
  pipe(
    reverse(B.Ord),
    contramap(({methods}: RouteTarget) => methods !== undefined),
  ),
  pipe(
    S.Ord,
    contramap(({id}: RouteTarget) => id),
  ),
]);

/**
 * Finds the most specific route of a request.
 * @param table - The table.
 * @param method - HTTP method in upper case.
 * @param host - The request's host, with or without a port.
 * @param path - The request's path.
 * @returns The route, or undefined if none matches.
 */
export function findRoute(
  table: RoutingTable,
  method: string,
  host: string,
  path: string,
): RouteTarget | undefined {
  const hostName = getHostName(host);
  return table.routes.find(
    route =>
      matchesPath(route.pathPrefix, path) &&
      (route.host === undefined || route.host === hostName) &&
      (route.methods === undefined || route.methods.includes(method)),
  );
}

/** Gets the host name of a Host header in lower case, without the port. */
function getHostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/** Reports whether a prefix matches a path by whole segments. */
function matchesPath(prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) {
    return false;
  }
  const next = path.charAt(prefix.length);
  return prefix.endsWith('/') || next === '' || next === '/' || next === '?';
}

/**
 * Reports whether a request is idempotent and so may run more than once.
 * @param route - The request's route.
 * @param method - HTTP method in upper case.
 * @returns True if it is idempotent.
 */
export function isIdempotent(route: Route, method: string): boolean {
  return route.idempotent === 'by-method'
    ? IDEMPOTENT_METHODS.has(method)
    : route.idempotent;
}
