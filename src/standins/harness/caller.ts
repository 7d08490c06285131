/** HTTP client that sends requests to proxies as a caller does. */
import {Agent, Dispatcher} from 'undici';
import {formatLoopbackAddress} from './ports.js';

const CONNECTIONS_PER_PROXY = 64;

/** Result of one request, as the caller sees it. */
export type CallResult =
  | {
      /** A complete answer of an upstream. */
      readonly kind: 'answered';
      readonly status: number;
      readonly body: unknown;
    }
  | {
      /** Refused by the proxy; `outcome` says whether the request may have run. */
      readonly kind: 'refused';
      readonly outcome: 'not-run' | 'unknown';
      readonly reason: string;
      readonly status: number;
      readonly retryAfterSeconds: number | undefined;
    }
  /** The connection was refused, so nothing was sent. */
  | {readonly kind: 'unreached'}
  /** The connection broke after the request was sent. */
  | {readonly kind: 'cut'; readonly detail: string}
  /** A response without a valid `fireflysill-outcome` header. */
  | {readonly kind: 'foreign'; readonly status: number; readonly body: string};

export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Value of the `Idempotency-Key` header. */
  readonly key?: string;
}

/** Sends requests over pooled connections to the caller ports of proxies. */
export class Caller {
  private readonly agent = new Agent({
    connections: CONNECTIONS_PER_PROXY,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  /**
   * Sends one request without retries.
   * @param port - Caller port of the proxy.
   * @param call - The request.
   * @param signal - Aborts the request.
   * @returns The result. Never rejects; a failed connection is a result too.
   */
  async send(
    port: number,
    call: CallRequest,
    signal?: AbortSignal,
  ): Promise<CallResult> {
    const headers: Record<string, string> = {...call.headers};
    if (call.key !== undefined) {
      headers['idempotency-key'] = call.key;
    }
    try {
      const res = await this.agent.request({
        origin: `http://${formatLoopbackAddress(port)}`,
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers,
        body: call.body,
        signal,
        // Prevents undici from retrying idempotent requests.
        idempotent: false,
      });
      return parseResult(res, await res.body.text());
    } catch (error) {
      return classifyFailure(error);
    }
  }

  /** Closes all connections and aborts the requests in flight. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

function parseResult(res: Dispatcher.ResponseData, text: string): CallResult {
  const status = res.statusCode;
  const outcome = getHeader(res, 'fireflysill-outcome');
  if (outcome === 'answered') {
    return {kind: 'answered', status, body: parseBody(text)};
  }
  if (outcome !== 'not-run' && outcome !== 'unknown') {
    return {kind: 'foreign', status, body: text};
  }
  const retryAfter = getHeader(res, 'retry-after');
  return {
    kind: 'refused',
    outcome,
    reason: getHeader(res, 'fireflysill-reason') ?? '',
    status,
    retryAfterSeconds:
      retryAfter === undefined ? undefined : Number(retryAfter),
  };
}

function getHeader(
  res: Dispatcher.ResponseData,
  name: string,
): string | undefined {
  const value = res.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function classifyFailure(error: unknown): CallResult {
  const code = (error as {code?: string}).code;
  return code === 'ECONNREFUSED'
    ? {kind: 'unreached'}
    : {kind: 'cut', detail: code ?? String(error)};
}
