/** HTTP handlers for metrics, status and readiness checks. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {getEvacuatedZones} from '../core/mesh/evacuations.js';
import {MeshState, isReady} from '../core/mesh/mesh_state.js';
import {writeJson} from '../proxy/operator_server.js';
import {MeshMetrics} from './mesh_metrics.js';

/**
 * Handles `GET /metrics` and `GET /v1/status`; answers 404 to other requests.
 * @param req - The request.
 * @param res - The response.
 * @param state - The proxy's state.
 * @param metrics - The proxy's metrics.
 * @param at - Now, on the clock of the core, in milliseconds.
 */
export async function handleOperatorRequest(
  req: IncomingMessage,
  res: ServerResponse,
  state: MeshState,
  metrics: MeshMetrics,
  at: number,
): Promise<void> {
  req.resume();
  switch (`${req.method} ${req.url}`) {
    case 'GET /metrics': {
      const text = await metrics.registry.metrics();
      res.writeHead(200, {'content-type': metrics.registry.contentType});
      res.end(text);
      return;
    }
    case 'GET /v1/status':
      return writeJson(res, 200, createStatus(state, at));
    default:
      return writeJson(res, 404, {
        error: {code: 'not_found', message: 'Use GET /metrics or /v1/status.'},
      });
  }
}

/**
 * Creates the response to `GET /v1/status`.
 * @param state - The proxy's state.
 * @param at - Now, on the clock of the core, in milliseconds.
 * @returns A value that can be serialized as JSON.
 */
export function createStatus(state: MeshState, at: number): object {
  const {settings, fleet, work, estimates, health, peers, suspects} = state;
  return {
    address: settings.address,
    zone: settings.zone,
    service: settings.service,
    ready: isReady(state),
    version: state.config?.version,
    revision: fleet.revision,
    evacuatedZones: getEvacuatedZones(fleet.evacuations),
    instances: [...fleet.instances.values()],
    peers: [...peers].map(([address, peer]) => ({address, ...peer})),
    running: work.running.size,
    queued: work.queue.length,
    estimates: {...estimates, byRoute: Object.fromEntries(estimates.byRoute)},
    upstreamDown: health.down,
    coldLimit: work.cold.bound && {
      cause: work.cold.bound.cause,
      allowance: work.cold.bound.allowance,
      untilWarmMs: Math.max(0, Math.round(work.cold.bound.until - at)),
    },
    coldUpstreams: [...fleet.coldUntil]
      .filter(([, until]) => until > at)
      .map(([id, until]) => ({id, untilWarmMs: Math.round(until - at)})),
    suspects: [...suspects.byFingerprint.values()],
  };
}

/**
 * Handles the platform's readiness check: 200 if the proxy accepts calls, 503
 * if it does not.
 * @param req - The request.
 * @param res - The response.
 * @param state - The proxy's state.
 * @param readyPath - The path of the check; others get 404.
 */
export function handleReadinessRequest(
  req: IncomingMessage,
  res: ServerResponse,
  state: MeshState,
  readyPath: string,
): void {
  req.resume();
  if (req.url !== readyPath) {
    writeJson(res, 404, {error: {message: `Use GET ${readyPath}.`}});
    return;
  }
  const ready = isReady(state);
  writeJson(res, ready ? 200 : 503, {ready});
}
