/** HTTP client for the upstream on the same VM. */
import {connect} from 'node:net';
import {
  AnswerFacts,
  MeshEventBody,
  UpstreamReport,
} from '../core/mesh/mesh_types.js';
import {parseAddress} from '../proxy/addresses.js';
import {OutboundRequest} from '../proxy/pending_calls.js';
import {ConnectionPools} from '../proxy/connection_pools.js';
import {HeaderRecord, copyEndToEndHeaders} from '../proxy/headers.js';
import {
  AnswerBuffers,
  RunningExchange,
  HttpAnswer,
  startExchange,
} from '../proxy/http_exchange.js';
import {MemoryBudget} from '../proxy/memory_budget.js';
import {HeaderNames} from './header_names.js';

/** Limit on answers, which are buffered in memory. */
export const MAX_ANSWER_BYTES = 16 * 1_048_576;

/** Limit on what an answer has beside its body: its head, framing, trailers. */
export const MAX_HEAD_BYTES = 1_048_576;

/** Limit on the answers in progress together. */
const MAX_BUFFERED_BYTES = 48 * 1_048_576;

/** Timeout of connection probes; the upstream is on the same VM. */
const CONNECT_TIMEOUT_MS = 300;

/** Status of an upstream that received a request for another instance. */
const STATUS_MISDIRECTED = 421;

/** Statuses with which an upstream may refuse a request without running it. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([421, 429, 503]);

/** Value of the header in which an upstream reports that it is leaving. */
const LEAVING_VALUE = '1';

const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/;

/** Dispatches attempts to the upstream and posts their results as events. */
export class MeshUpstreamClient {
  private readonly pools = new ConnectionPools(
    undefined,
    MAX_ANSWER_BYTES + MAX_HEAD_BYTES,
  );
  private readonly buffers = new AnswerBuffers(MAX_BUFFERED_BYTES);
  private readonly running = new Map<string, RunningExchange>();

  /**
   * @param address - The upstream's address.
   * @param headerNames - The platform's header names.
   * @param post - Receives events.
   * @param memory - Counts the answers while they arrive, and large ones until they are free.
   */
  constructor(
    private readonly address: string,
    private readonly headerNames: HeaderNames,
    private readonly post: (event: MeshEventBody) => void,
    private readonly memory: MemoryBudget,
  ) {}

  /**
   * Sends an attempt and posts `upstreamAnswered` or `upstreamFailed`.
   * @param attemptId - The attempt.
   * @param instanceId - The only upstream process that may run it.
   * @param timeoutMs - Time until its deadline.
   * @param outbound - The request.
   */
  async dispatch(
    attemptId: string,
    instanceId: string,
    timeoutMs: number,
    outbound: OutboundRequest,
  ): Promise<void> {
    const {headerNames} = this;
    const exchange = startExchange(this.pools.get(this.address), {
      method: outbound.method,
      path: outbound.path,
      headers: {
        ...outbound.headers,
        [headerNames.timeoutMs]: String(Math.max(1, Math.floor(timeoutMs))),
        [headerNames.instance]: instanceId,
      },
      body: outbound.body,
      timeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      buffers: this.buffers,
      memory: this.memory,
      // A faulty upstream may write a refusal once more, where a later answer is due.
      // Without an identifier, only the connection tells to which request it belongs.
      endsWithHead: (_status, headers) =>
        outbound.headers[headerNames.requestId] !== undefined &&
        headers[headerNames.requestId] === undefined,
    });
    this.running.set(attemptId, exchange);
    const result = await exchange.result;
    this.running.delete(attemptId);
    if (result.isErr()) {
      const {headers} = exchange;
      const {requestId} = headerNames;
      const isOwn =
        headers !== undefined &&
        headers[requestId] === outbound.headers[requestId];
      this.post({
        kind: 'upstreamFailed',
        attemptId,
        failure: result.error,
        report: isOwn ? this.readReport(headers) : undefined,
      });
      return;
    }
    this.handleAnswer(attemptId, result.value, outbound);
  }

  private handleAnswer(
    attemptId: string,
    answer: HttpAnswer,
    outbound: OutboundRequest,
  ): void {
    const {requestId, notRun} = this.headerNames;
    const sentId = outbound.headers[requestId];
    const echoedId = answer.headers[requestId];
    const isForeign = sentId !== undefined && echoedId !== sentId;
    const isEncoded = answer.headers['content-encoding'] !== undefined;
    const {status, body} = answer;
    const isRefusal =
      NOT_RUN_STATUSES.has(status) &&
      (status === STATUS_MISDIRECTED || answer.headers[notRun] !== undefined);
    const isAnonymousRefusal = isRefusal && echoedId === undefined;
    if ((isForeign || isEncoded) && !isAnonymousRefusal) {
      // Later answers on these connections may belong to other requests, too.
      this.replaceConnections();
      this.post({kind: 'upstreamFailed', attemptId, failure: 'foreign-answer'});
      return;
    }
    const facts: AnswerFacts = {
      notRun: isRefusal,
      retryAfterMs: parseRetryAfterMs(answer.headers['retry-after']),
      otherInstance: status === STATUS_MISDIRECTED,
      report: this.readReport(answer.headers),
    };
    const headers: HeaderRecord = copyEndToEndHeaders(answer.headers);
    const unframed = isUnframed(answer);
    this.post({
      kind: 'upstreamAnswered',
      attemptId,
      answer: {kind: 'answer', status, headers, body, unframed},
      facts,
    });
  }

  private readReport(headers: HeaderRecord): UpstreamReport {
    const {rateLimit, leaving} = this.headerNames;
    return {
      limitPerSecond: parseRate(headers[rateLimit]),
      leaving: headers[leaving] === LEAVING_VALUE,
    };
  }

  /** Aborts an attempt; closing its connection makes the upstream stop. */
  abort(attemptId: string): void {
    this.running.get(attemptId)?.abort();
  }

  /**
   * Stops using the present connections, which may lead to an earlier process
   * of the upstream; later requests open new ones.
   */
  replaceConnections(): void {
    this.pools.replacePool(this.address);
  }

  /** Tests whether the upstream accepts connections; posts `connectProbed`. */
  probe(): void {
    const {host, port} = parseAddress(this.address);
    const socket = connect({host, port});
    const finish = (accepted: boolean) => {
      clearTimeout(timer);
      socket.removeAllListeners();
      socket.on('error', () => undefined);
      socket.destroy();
      this.post({kind: 'connectProbed', accepted});
    };
    const timer = setTimeout(() => finish(false), CONNECT_TIMEOUT_MS);
    socket.once('connect', () => finish(true));
    // Who resets a connection runs; it may have too many of them.
    socket.once('error', (err: NodeJS.ErrnoException) =>
      finish(err.code === 'ECONNRESET'),
    );
  }

  /** Closes all connections. */
  async destroy(): Promise<void> {
    await this.pools.destroy();
  }
}

/** Parses a rate, a decimal number per second; the lowest if it is repeated. */
function parseRate(
  header: string | readonly string[] | undefined,
): number | 'unreadable' | undefined {
  if (header === undefined) {
    return undefined;
  }
  const values = typeof header === 'string' ? [header] : header;
  const rates = values.filter(value => DECIMAL.test(value)).map(Number);
  return rates.length === 0 ? 'unreadable' : Math.min(...rates);
}

/** Parses a retry delay in seconds; undefined for a date or anything else. */
function parseRetryAfterMs(
  header: string | readonly string[] | undefined,
): number | undefined {
  return typeof header === 'string' && DECIMAL.test(header)
    ? Number(header) * 1_000
    : undefined;
}

/**
 * Returns true if only the end of the connection delimited the answer's body,
 * else undefined.
 */
function isUnframed({status, headers}: HttpAnswer): boolean | undefined {
  const hasLength =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return hasLength || status === 204 || status === 304 ? undefined : true;
}
