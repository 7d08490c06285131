/** Serves health, metrics and status to operators, and starts shutdowns. */
import {IncomingMessage, ServerResponse} from 'node:http';
import type {ProxyLoop} from './proxy_runtime.js';
import {ProxyMetrics} from './metrics.js';

/** Maximum number of members that a status answer lists. */
const MAX_LISTED_MEMBERS = 1_000;

export class OperatorServer {
  constructor(
    private readonly loop: ProxyLoop,
    private readonly metrics: ProxyMetrics,
    private readonly startDrain: () => void,
  ) {}

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    req.resume();
    switch (`${req.method} ${req.url}`) {
      case 'GET /healthz':
        return writeJson(res, 200, {status: 'ok'});
      case 'GET /readyz':
        return this.writeReadiness(res);
      case 'GET /v1/status':
        return writeJson(res, 200, getStatus(this.loop));
      case 'GET /metrics': {
        const text = await this.metrics.registry.metrics();
        res.writeHead(200, {'content-type': this.metrics.registry.contentType});
        res.end(text);
        return;
      }
      case 'POST /v1/drain':
        this.startDrain();
        return writeJson(res, 202, {status: 'draining'});
      default:
        return writeJson(res, 404, {
          error: {
            code: 'not_found',
            message:
              'Use GET /healthz, /readyz, /metrics or /v1/status, or POST /v1/drain.',
          },
        });
    }
  }

  private writeReadiness(res: ServerResponse): void {
    const {startup, owner} = this.loop.state;
    const ready = startup.ready && !owner.draining;
    writeJson(res, ready ? 200 : 503, {ready});
  }
}

/**
 * Sends a JSON response.
 * @param res - The response.
 * @param status - HTTP status.
 * @param value - The value to serialize.
 */
export function writeJson(
  res: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}

/**
 * Creates the status report of a proxy for operators.
 * @param loop - The proxy's core loop.
 * @returns A value that can be serialized as JSON.
 */
export function getStatus(loop: ProxyLoop): object {
  const {settings, log, startup, membership, owner, watch, suspects} =
    loop.state;
  const {id, zone, region, peerAddress, startedAt} = settings;
  const members = [...membership.members.values()].slice(-MAX_LISTED_MEMBERS);
  return {
    id,
    zone,
    region,
    peerAddress,
    startedAt,
    ready: startup.ready,
    sequence: log.active.sequence,
    latestSequence: log.latest.sequence,
    version: log.active.version,
    digest: log.active.digest,
    adoptedAt: log.adoptedAt,
    leaving: owner.draining || owner.drainHintSince !== undefined,
    source: {
      answeredAt: watch.answeredAt,
      head: watch.head,
      failures: watch.failures,
    },
    load: {
      running: owner.admission.running.size,
      queued: owner.admission.queue.length,
      keyRecords: owner.keys.size,
    },
    suspects: [...suspects.byFingerprint.values()],
    members: members.map(({info, heardAt}) => ({...info, heardAt})),
    outcomes: log.latest.outcomes,
  };
}
