/** Sends dispatched attempts to the local upstream, and probes its health. */
import * as z from 'zod';
import {EventBody} from '../core/types.js';
import {Settings} from '../model/settings.js';
import {OutboundRequest} from './pending_calls.js';
import {ConnectionPools} from './connection_pools.js';
import {
  ATTEMPT_HEADER,
  copyEndToEndHeaders,
  DEADLINE_HEADER,
  HeaderRecord,
  UPSTREAM_KEY_HEADER,
  RETRY_LAYER_HEADER,
} from './headers.js';
import {RunningExchange, startExchange} from './http_exchange.js';

const MAX_HEALTH_ANSWER_BYTES = 4_096;
const EMPTY_BODY = new Uint8Array(0);

const HealthSchema = z.object({
  status: z.enum(['ok', 'draining', 'down']).optional(),
});

export class UpstreamClient {
  /** Exchanges in progress, by attempt id. */
  private readonly exchanges = new Map<string, RunningExchange>();

  constructor(
    private readonly settings: Settings,
    private readonly pools: ConnectionPools,
    private readonly post: (event: EventBody) => void,
  ) {}

  /**
   * Sends an attempt to the upstream and posts its answer or failure.
   * @param attemptId - The attempt.
   * @param key - The idempotency key, if the request has one.
   * @param timeoutMs - Time until the deadline, in milliseconds.
   * @param outbound - The request.
   */
  async dispatch(
    attemptId: string,
    key: string | undefined,
    timeoutMs: number,
    outbound: OutboundRequest,
  ): Promise<void> {
    const keyHeader: HeaderRecord =
      key === undefined ? {} : {[UPSTREAM_KEY_HEADER]: key};
    const exchange = startExchange(this.getPool(), {
      method: outbound.method,
      path: outbound.path,
      headers: {
        ...outbound.headers,
        ...keyHeader,
        [ATTEMPT_HEADER]: attemptId,
        [DEADLINE_HEADER]: String(Math.floor(timeoutMs)),
        [RETRY_LAYER_HEADER]: 'outer',
      },
      body: outbound.body,
      timeoutMs,
      maxAnswerBytes: this.settings.limits.maxAnswerBytes,
    });
    this.exchanges.set(attemptId, exchange);
    const answer = await exchange.result;
    this.exchanges.delete(attemptId);
    if (answer.isErr()) {
      this.post({kind: 'upstreamFailed', attemptId, failure: answer.error});
      return;
    }
    const {status, body} = answer.value;
    const headers = copyEndToEndHeaders(answer.value.headers);
    this.post({
      kind: 'upstreamAnswered',
      attemptId,
      answer: {kind: 'answer', status, headers, body},
    });
  }

  abort(attemptId: string): void {
    this.exchanges.get(attemptId)?.abort();
  }

  /** Requests the upstream's health endpoint and posts the result. */
  async probeHealth(): Promise<void> {
    const {healthPath, healthIntervalMs} = this.settings.upstream;
    const exchange = startExchange(this.getPool(), {
      method: 'GET',
      path: healthPath,
      headers: {},
      body: EMPTY_BODY,
      timeoutMs: healthIntervalMs,
      maxAnswerBytes: MAX_HEALTH_ANSWER_BYTES,
    });
    const answer = await exchange.result;
    if (answer.isErr()) {
      this.post({kind: 'upstreamProbed', healthy: false, draining: false});
      return;
    }
    const status = parseHealthStatus(answer.value.body);
    const healthy = answer.value.status < 300 && status !== 'down';
    const draining = status === 'draining';
    this.post({kind: 'upstreamProbed', healthy, draining});
  }

  private getPool() {
    return this.pools.get(this.settings.upstream.address);
  }
}

/**
 * Parses the status in a health answer. Returns undefined if there is none; the
 * HTTP status alone then decides.
 */
function parseHealthStatus(body: Uint8Array): string | undefined {
  try {
    const text = Buffer.from(body).toString('utf8');
    const parsed = HealthSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data.status : undefined;
  } catch {
    return undefined;
  }
}
