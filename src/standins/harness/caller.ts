/** A caller that sends requests to proxies and tells what it got. */
import {Agent, Dispatcher} from 'undici';
import {formatLoopbackAddress} from './ports.js';

const CONNECTIONS_PER_PROXY = 64;

/** What a caller got for one request. */
export type CallResult =
  | {
      /** A whole answer of an upstream. */
      readonly kind: 'answered';
      readonly status: number;
      readonly body: unknown;
    }
  | {
      /** The system's refusal, with what is known of the request. */
      readonly kind: 'refused';
      readonly outcome: 'not-run' | 'unknown';
      readonly reason: string;
      readonly status: number;
      readonly retryAfterSeconds: number | undefined;
    }
  /** The proxy's listener refused the connection, so nothing was sent. */
  | {readonly kind: 'unreached'}
  /** The connection broke after the request was sent. */
  | {readonly kind: 'cut'; readonly detail: string}
  /** An answer without the headers that the system promises. */
  | {readonly kind: 'foreign'; readonly status: number; readonly body: string};

export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** `Idempotency-Key` of the request. */
  readonly key?: string;
}

/** Keeps connections to the proxies' caller addresses. */
export class Caller {
  private readonly agent = new Agent({
    connections: CONNECTIONS_PER_PROXY,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  /**
   * Sends one request and never retries it.
   * @param port - Caller port of the proxy.
   * @param call - The request.
   * @param signal - Takes the request back.
   * @returns What came of it; never rejects.
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
        // Undici would send an idempotent request again on its own.
        idempotent: false,
      });
      return parseResult(res, await res.body.text());
    } catch (error) {
      return classifyFailure(error);
    }
  }

  /** Closes the connections; what is under way is cut. */
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
