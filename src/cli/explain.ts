/** The `explain` command: shows how a request would be routed at a version. */
import {Result} from 'neverthrow';
import {
  createRoutingTable,
  findRoute,
  isIdempotent,
  RouteTarget,
} from '../core/config/routing_table.js';
import {ServiceSchema} from '../model/config.js';
import {CliError, EXIT_CODES} from './errors.js';
import {History, resolveVersion} from './history.js';
import {renderFields, renderTable, Report} from './report.js';

/** The parts of a request that decide its route. */
export interface ExplainedRequest {
  /** HTTP method in upper case. */
  readonly method: string;
  readonly host: string;
  readonly path: string;
}

/**
 * Finds the route of a request at a version.
 * @param history - History of the published log.
 * @param req - The request.
 * @param at - The version, or undefined for the latest.
 * @returns The route, service, limits and upstreams, or a report with exit
 * code 1 if no route matches; or a `version_unknown` error.
 */
export function explainRequest(
  history: History,
  req: ExplainedRequest,
  at: number | undefined,
): Result<Report, CliError> {
  return resolveVersion(history, at).map(({version, config}) => {
    const table = createRoutingTable(version, config);
    const route = findRoute(table, req.method, req.host, req.path);
    if (route === undefined) {
      return {
        exitCode: EXIT_CODES.negative,
        data: {version, request: req, refusal: 'no_route'},
        text: `No route matches ${renderRequest(req)} at version ${version}; a proxy would refuse it with no_route.`,
      };
    }
    return createRouteReport(version, req, route);
  });
}

function createRouteReport(
  version: number,
  req: ExplainedRequest,
  route: RouteTarget,
): Report {
  const {target, ...routeSettings} = route;
  const {name, upstreams} = target;
  const limits = ServiceSchema.strip().parse(target);
  const idempotent = isIdempotent(route, req.method);
  return {
    exitCode: EXIT_CODES.ok,
    data: {
      version,
      request: req,
      route: routeSettings,
      idempotent,
      service: {name, ...limits},
      upstreams,
    },
    text: [
      `${renderRequest(req)} at version ${version}`,
      renderFields([
        ['route', `${route.id} (${describeRouteMatch(route)})`],
        ['service', name],
        ['idempotent', idempotent ? 'yes' : 'no, it runs at most once'],
        ['timeout', `${route.timeoutMs} ms`],
        ['priority', route.priority],
        ['slots', `${limits.slots} for each upstream`],
        ['queue', `${limits.queue} for each upstream`],
        ['connections', `${limits.connections} for each upstream`],
        [
          'retries',
          idempotent
            ? describeRetries(limits)
            : 'only if the request provably did not run',
        ],
        ['key lifetime', `${limits.keyLifetimeMs} ms`],
        ['slow start', `${limits.slowStartMs} ms`],
      ]),
      renderTable(
        ['upstream', 'region', 'zone', 'peer address'],
        upstreams.map(({id, region, zone, peerAddress}) => [
          id,
          region,
          zone,
          peerAddress,
        ]),
      ),
    ].join('\n'),
  };
}

function describeRetries({
  retryBudgetPercent,
}: {
  readonly retryBudgetPercent: number;
}): string {
  return `at most ${retryBudgetPercent}% of first attempts`;
}

function describeRouteMatch({pathPrefix, host, methods}: RouteTarget): string {
  const parts = [`path ${pathPrefix}`];
  if (host !== undefined) {
    parts.push(`host ${host}`);
  }
  if (methods !== undefined) {
    parts.push(`methods ${methods.join(', ')}`);
  }
  return parts.join(', ');
}

function renderRequest({method, host, path}: ExplainedRequest): string {
  return `${method} ${host}${path}`;
}
