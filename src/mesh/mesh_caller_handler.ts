/** Handles HTTP requests of callers on the same VM. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {MeshCallInfo, MeshEventBody} from '../core/mesh/mesh_types.js';
import {Refusal} from '../core/refusals.js';
import {Answer} from '../core/types.js';
import {CallerLimits} from '../model/mesh.js';
import {
  createBadRequest,
  computeFingerprint,
  parseDurationHeader,
} from '../proxy/caller_server.js';
import {isBehindEnd} from '../proxy/closing_connections.js';
import {HeaderRecord, copyEndToEndHeaders} from '../proxy/headers.js';
import {
  createBodyRefusal,
  createMemoryRefusal,
  hasBody,
  readBody,
} from '../proxy/read_body.js';
import {OutboundRequest, PendingCalls} from '../proxy/pending_calls.js';
import {writeCallResult} from '../proxy/http_results.js';
import {MAX_ORDINARY_BYTES, MemoryBudget} from '../proxy/memory_budget.js';
import {CallerConnections, OpenRequest} from './caller_connections.js';
import {HeaderNames} from './header_names.js';
import {TurnClock} from './turn_clock.js';

/** Limit on request bodies until a configuration sets one. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;

/**
 * Time for which a request may have lain unread, in milliseconds, above which the end of
 * its connection is looked for before it is accepted.
 */
const MAX_UNREAD_MS = 100;

/** What a {@link MeshCallerHandler} needs of its process. */
export interface CallerHost {
  /** Returns the service of the upstream on this VM. */
  getService(): string;
  /** Finds why a request with this host and path will be refused, if it is known. */
  findRefusal(host: string, path: string): Refusal | undefined;
  /** Receives events. */
  post(event: MeshEventBody): void;
  /** Called with the reason of each refused request. */
  onBadInput(kind: string): void;
  /** Called with what is done with each request that was read late. */
  onLateRead(what: string): void;
}

/** Turns requests into `callArrived` events and writes their responses. */
export class MeshCallerHandler {
  /** Set while the proxy stops; connections then close after a response. */
  stopping = false;
  limits?: CallerLimits;
  private readonly pending: PendingCalls;
  private readonly connections: CallerConnections;
  private readonly openRequests = new WeakMap<ServerResponse, OpenRequest>();
  /** Connections that were accepted late, until their first request is read. */
  private readonly lateConnections = new WeakSet<Socket>();
  private nextCallNumber = 1;

  /**
   * @param prefix - Prefix that makes call identifiers unique in the fleet.
   * @param headerNames - The platform's header names.
   * @param nestedSeparator - Separates the identifier of a parent request from
   *     the rest of a nested request's identifier.
   * @param host - The process.
   * @param turns - Tells how late requests are read.
   * @param memory - Counts what is held for callers.
   */
  constructor(
    private readonly prefix: string,
    private readonly headerNames: HeaderNames,
    private readonly nestedSeparator: string,
    private readonly host: CallerHost,
    private readonly turns: TurnClock,
    private readonly memory: MemoryBudget,
  ) {
    this.pending = new PendingCalls(callId =>
      host.post({kind: 'callerGone', callId}),
    );
    this.connections = new CallerConnections(memory);
  }

  /** Records a connection that was accepted now. */
  handleConnection(socket: Socket): void {
    this.connections.add(socket);
    const waitedMs = this.turns.getMsSince(this.turns.recordConnection());
    if (waitedMs > MAX_UNREAD_MS) {
      this.lateConnections.add(socket);
    }
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.turns.enter();
    const request = this.connections.open(req, res);
    if (request === undefined) {
      return;
    }
    this.openRequests.set(res, request);
    const headRefusal = this.findRefusal(req, request);
    if (headRefusal !== undefined) {
      this.refuseUnread(req, res, headRefusal);
      return;
    }
    const headAt = performance.now() - this.turns.getTurnMs();
    const maxBytes = this.limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const timeoutMs = this.parseTimeoutMs(req);
    const received = await readBody(req, maxBytes, this.memory, timeoutMs);
    if (received.isErr()) {
      const refusal = createBodyRefusal(received.error);
      if (refusal !== undefined) {
        this.refuseUnread(req, res, refusal);
      }
      return;
    }
    const {bytes, release} = received.value;
    request.onEnd(release);
    const wholeAt = performance.now() - this.turns.getTurnMs();
    if (this.mayHaveLainUnread(req.socket)) {
      this.host.onLateRead('request_deferred');
      await this.turns.catchUp();
    }
    this.accept(req, res, bytes, {
      receiveMs: Math.max(0, wholeAt - headAt),
      unreadMs: performance.now() - wholeAt,
    });
  }

  /** Finds why a request is refused by its head. */
  private findRefusal(
    req: IncomingMessage,
    request: OpenRequest,
  ): Refusal | undefined {
    if (!request.isHeld) {
      return createMemoryRefusal();
    }
    const malformed = this.findMalformedHead(req);
    if (malformed !== undefined || !hasBody(req)) {
      return malformed;
    }
    return this.host.findRefusal(req.headers.host ?? '', req.url ?? '/');
  }

  /** Reports whether the present request may have lain unread for long. */
  private mayHaveLainUnread(socket: Socket): boolean {
    return (
      this.lateConnections.delete(socket) ||
      this.turns.getBehindMs() > MAX_UNREAD_MS
    );
  }

  private findMalformedHead(req: IncomingMessage): Refusal | undefined {
    if (!(req.url ?? '/').startsWith('/')) {
      return createBadRequest('Request target; send a path');
    }
    if (countFields(req, 'host') !== 1) {
      return createBadRequest('Host; send exactly one');
    }
    const headerBytes = req.rawHeaders.reduce((sum, h) => sum + h.length, 0);
    if (headerBytes > (this.limits?.maxHeaderBytes ?? Infinity)) {
      return createBadRequest('Headers; send fewer bytes');
    }
    return Number.isNaN(this.parseTimeoutMs(req))
      ? createBadRequest(
          `${this.headerNames.timeoutMs}; give remaining milliseconds`,
        )
      : undefined;
  }

  private parseTimeoutMs({headers}: IncomingMessage): number | undefined {
    return parseDurationHeader(headers[this.headerNames.timeoutMs]);
  }

  private createCallInfo(req: IncomingMessage, body: Uint8Array): MeshCallInfo {
    const {headers, method = 'GET', url: path = '/'} = req;
    const requestId = String(headers[this.headerNames.requestId] ?? '');
    return {
      requestId,
      parentId: parseParentId(requestId, this.nestedSeparator),
      host: headers.host ?? '',
      path,
      timeoutMs: this.parseTimeoutMs(req),
      bodyBytes: body.byteLength,
      fingerprint: computeFingerprint(method, path, body),
    };
  }

  private accept(
    req: IncomingMessage,
    res: ServerResponse,
    body: Uint8Array,
    delays: {readonly receiveMs: number; readonly unreadMs: number},
  ): void {
    const {socket} = req;
    if (isBehindEnd(req)) {
      this.host.onBadInput('after_close');
      return;
    }
    if (res.destroyed || socket.destroyed || socket.readableEnded) {
      this.host.onLateRead('caller_gone');
      return;
    }
    const call = this.createCallInfo(req, body);
    const callId = `${this.prefix}-${this.nextCallNumber++}`;
    const headers: HeaderRecord = {
      ...copyEndToEndHeaders(req.headers),
      [this.headerNames.callerService]: this.host.getService(),
    };
    const {path} = call;
    const outbound = {method: req.method ?? 'GET', path, headers, body};
    this.pending.add(callId, res, outbound);
    this.host.post({kind: 'callArrived', callId, call, ...delays});
  }

  /** Refuses a request of which the body, if any, has not been read whole. */
  private refuseUnread(
    req: IncomingMessage,
    res: ServerResponse,
    refusal: Refusal,
  ): void {
    this.host.onBadInput(refusal.reason);
    const close = hasBody(req) || this.shouldClose(res);
    writeCallResult(res, refusal, close, 'fractions');
  }

  /**
   * Reports whether a response should close its connection. Closing discards
   * pipelined requests that are still open on the connection, so a stopping
   * proxy closes it only with the last response.
   */
  private shouldClose(res: ServerResponse): boolean {
    return this.stopping && this.connections.isLast(res.req.socket);
  }

  /**
   * Returns the request of a call.
   * @param callId - The call.
   * @returns The request, or undefined if the caller has disconnected.
   */
  getOutbound(callId: string): OutboundRequest | undefined {
    return this.pending.getOutbound(callId);
  }

  /**
   * Writes the response of a call, unless the caller has disconnected.
   * @param callId - The call.
   * @param result - The answer or refusal.
   */
  answer(callId: string, result: Answer | Refusal): void {
    const res = this.pending.removeAndGetResponse(callId);
    if (res === undefined) {
      return;
    }
    if (result.kind === 'answer') {
      this.holdUntilRead(res, result.body.length);
    }
    writeCallResult(res, result, this.shouldClose(res), 'fractions');
  }

  /** Counts an answer until its caller has read it, or ends it where room is needed. */
  private holdUntilRead(res: ServerResponse, bytes: number): void {
    const request = this.openRequests.get(res);
    if (request === undefined || bytes <= MAX_ORDINARY_BYTES) {
      request?.hold.add(bytes);
      return;
    }
    const {socket} = res.req;
    const holder = {
      heldBytes: bytes,
      getProgress: () => socket.writableLength,
      evict: () => socket.destroy(),
    };
    this.memory.addHolder(holder);
    request.onEnd(() => {
      this.memory.removeHolder(holder);
      this.memory.retire(bytes);
    });
  }
}

/** Counts the fields of a name; a table of all fields would take much memory. */
function countFields({rawHeaders}: IncomingMessage, name: string): number {
  return rawHeaders.filter(
    (text, n) => n % 2 === 0 && text.toLowerCase() === name,
  ).length;
}

function parseParentId(
  requestId: string,
  separator: string,
): string | undefined {
  const end = requestId.lastIndexOf(separator);
  return end > 0 ? requestId.slice(0, end) : undefined;
}
