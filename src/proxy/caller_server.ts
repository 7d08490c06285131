/** Receives requests from callers and answers each of them exactly once. */
import {createHash, hash, randomFillSync} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';
import {v7 as createUuidV7} from 'uuid';
import {createRefusal, Refusal, weakenToUnknown} from '../core/refusals.js';
import {Answer, CallInfo, EventBody} from '../core/types.js';
import {Settings} from '../model/settings.js';
import {MemoryBudget} from './memory_budget.js';
import {isBehindEnd} from './closing_connections.js';
import {createBodyRefusal, readBody, releaseAfter} from './read_body.js';
import {
  copyEndToEndHeaders,
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  RETRY_LAYER_HEADER,
} from './headers.js';
import {OutboundRequest, PendingCalls} from './pending_calls.js';
import {writeCallResult} from './http_results.js';

const MAX_IDEMPOTENCY_KEY_LENGTH = 200;

const UUID_BYTES = 16;
/** Random bytes that are generated at a time, enough for 256 call ids. */
const RANDOM_POOL_BYTES = 256 * UUID_BYTES;

export class CallerServer {
  private readonly pendingCalls: PendingCalls;
  private readonly randomPool = new Uint8Array(RANDOM_POOL_BYTES);
  private randomPoolOffset = RANDOM_POOL_BYTES;

  /** Set during a graceful shutdown; answers then close their connections. */
  closing = false;

  constructor(
    private readonly limits: Settings['limits'],
    private readonly post: (event: EventBody) => void,
    private readonly count: (reason: string) => void,
    private readonly memory: MemoryBudget,
  ) {
    this.pendingCalls = new PendingCalls(callId =>
      post({kind: 'callerGone', callId}),
    );
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req, this.limits.maxRequestBytes, this.memory);
    if (body.isErr()) {
      const refusal = createBodyRefusal(body.error);
      if (refusal !== undefined) {
        this.refuse(req, res, refusal, true);
      }
      return;
    }
    const {bytes, release} = body.value;
    releaseAfter(res, release);
    if (isBehindEnd(req)) {
      this.count('after_close');
      return;
    }
    const call = parseCall(req, bytes);
    if (call.kind === 'refusal') {
      this.refuse(req, res, call, false);
      return;
    }
    this.accept(req, res, call.info, bytes);
  }

  private accept(
    req: IncomingMessage,
    res: ServerResponse,
    info: CallInfo,
    body: Uint8Array,
  ): void {
    const callId = this.createCallId();
    const outbound: OutboundRequest = {
      method: info.method,
      path: info.path,
      headers: copyEndToEndHeaders(req.headers),
      body,
    };
    this.pendingCalls.add(callId, res, outbound);
    this.post({kind: 'callArrived', callId, call: info});
  }

  /** Creates a UUIDv7, whose timestamp shows a restarted owner its age. */
  private createCallId(): string {
    if (this.randomPoolOffset === RANDOM_POOL_BYTES) {
      randomFillSync(this.randomPool);
      this.randomPoolOffset = 0;
    }
    const start = this.randomPoolOffset;
    this.randomPoolOffset += UUID_BYTES;
    const random = this.randomPool.subarray(start, this.randomPoolOffset);
    return createUuidV7({random});
  }

  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    refusal: Refusal,
    close: boolean,
  ): void {
    this.count(refusal.reason);
    const hasKey = req.headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
    const response = hasKey ? weakenToUnknown(refusal) : refusal;
    writeCallResult(res, response, close || this.closing);
  }

  /**
   * Gets the request of a pending call.
   * @param callId - The call.
   * @returns The request, or undefined if the caller has disconnected.
   */
  getOutbound(callId: string): OutboundRequest | undefined {
    return this.pendingCalls.getOutbound(callId);
  }

  /**
   * Answers a pending call; does nothing if its caller has disconnected.
   * @param callId - The call.
   * @param result - The answer or refusal to send.
   */
  answer(callId: string, result: Answer | Refusal): void {
    const res = this.pendingCalls.removeAndGetResponse(callId);
    if (res !== undefined) {
      writeCallResult(res, result, this.closing);
    }
  }
}

function parseCall(
  req: IncomingMessage,
  body: Uint8Array,
): {readonly kind: 'call'; readonly info: CallInfo} | Refusal {
  const method = req.method ?? 'GET';
  const path = req.url ?? '/';
  const key = req.headers[IDEMPOTENCY_KEY_HEADER];
  if (!path.startsWith('/')) {
    return createBadRequest(`Request target ${path.slice(0, 64)}; send a path`);
  }
  if (key !== undefined && !isValidIdempotencyKey(key)) {
    return createBadRequest(
      `Idempotency-Key; use 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} visible ASCII characters, once`,
    );
  }
  const timeoutMs = parseDurationHeader(req.headers[DEADLINE_HEADER]);
  if (Number.isNaN(timeoutMs)) {
    return createBadRequest(`${DEADLINE_HEADER}; give remaining milliseconds`);
  }
  const info: CallInfo = {
    method,
    path,
    host: req.headers.host ?? '',
    key,
    timeoutMs,
    fingerprint: computeFingerprint(method, path, body),
    retriedByOuter: req.headers[RETRY_LAYER_HEADER] !== undefined,
  };
  return {kind: 'call', info};
}

/**
 * Creates the refusal of a malformed request.
 * @param detail - The part of the request at fault and what to send instead.
 * @returns The refusal.
 */
export function createBadRequest(detail: string): Refusal {
  return createRefusal('bad_request', undefined, detail);
}

function isValidIdempotencyKey(key: string | string[]): key is string {
  return (
    typeof key === 'string' &&
    /^[\x21-\x7e]+$/.test(key) &&
    key.length <= MAX_IDEMPOTENCY_KEY_LENGTH
  );
}

/**
 * Parses a header that holds a duration in milliseconds.
 * @param value - The header's value.
 * @returns Milliseconds; undefined if the header is absent, NaN if malformed.
 */
export function parseDurationHeader(
  value: string | string[] | undefined,
): number | undefined {
  if (value === undefined) {
    return undefined;
  }
  return typeof value === 'string' && /^\d{1,9}(\.\d+)?$/.test(value)
    ? Number(value)
    : NaN;
}

/**
 * Computes a hash that identifies equal requests.
 * @param method - HTTP method.
 * @param path - Path and query.
 * @param body - Request body.
 * @returns The SHA-1 hash in base64url.
 */
export function computeFingerprint(
  method: string,
  path: string,
  body: Uint8Array,
): string {
  const head = `${method} ${path}\n`;
  if (body.length === 0) {
    return hash('sha1', head, 'base64url');
  }
  return createHash('sha1').update(head).update(body).digest('base64url');
}
