/** `fireflysill explain`: what a request would meet at a version. */
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

export interface ExplainedRequest {
  /** HTTP method in capitals. */
  readonly method: string;
  readonly host: string;
  readonly path: string;
}

/**
 * Finds the route of a request at a version.
 * @param history - The history.
 * @param req - The request.
 * @param at - The version, or undefined for the latest.
 * @returns Route, service, limits and upstreams, with exit code 1 where no
 * route matches; or a `version_unknown` error.
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
            : 'only where it is proved not to have run',
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
