/** Handles HTTP requests of callers on the same VM. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {MeshCallInfo, MeshEventBody} from '../core/mesh/mesh_types.js';
import {Refusal, createRefusal} from '../core/refusals.js';
import {Answer} from '../core/types.js';
import {CallerLimits} from '../model/mesh.js';
import {readBody} from '../proxy/read_body.js';
import {
  createBadRequest,
  computeFingerprint,
  parseDurationHeader,
} from '../proxy/caller_server.js';
import {HeaderRecord, copyEndToEndHeaders} from '../proxy/headers.js';
import {OutboundRequest, PendingCalls} from '../proxy/pending_calls.js';
import {writeCallResult} from '../proxy/http_results.js';
import {HeaderNames} from './header_names.js';
import {TurnClock} from './turn_clock.js';

/** Limit on request bodies until a configuration sets one. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;

/**
 * Time for which a request may have lain unread, in milliseconds, above which the end of
 * its connection is looked for before it is accepted.
 */
const MAX_UNREAD_MS = 100;

/** Turns requests into `callArrived` events and writes their responses. */
export class MeshCallerHandler {
  /** Set while the proxy stops; connections then close after a response. */
  stopping = false;
  limits?: CallerLimits;
  private readonly pending: PendingCalls;
  /** Number of requests in progress on each connection. */
  private readonly openRequests = new WeakMap<Socket, number>();
  /** Connections that were accepted late, until their first request is read. */
  private readonly lateConnections = new WeakSet<Socket>();
  private nextCallNumber = 1;

  /**
   * @param prefix - Prefix that makes call identifiers unique in the fleet.
   * @param headerNames - The platform's header names.
   * @param nestedSeparator - Separates the identifier of a parent request from
   *     the rest of a nested request's identifier.
   * @param getService - Returns the service of the upstream on this VM.
   * @param post - Receives events.
   * @param onBadInput - Called with the reason of each refused request.
   * @param onLateRead - Called with what is done with each request that was read late.
   * @param turns - Tells how late requests are read.
   */
  constructor(
    private readonly prefix: string,
    private readonly headerNames: HeaderNames,
    private readonly nestedSeparator: string,
    private readonly getService: () => string,
    private readonly post: (event: MeshEventBody) => void,
    private readonly onBadInput: (kind: string) => void,
    private readonly onLateRead: (what: string) => void,
    private readonly turns: TurnClock,
  ) {
    this.pending = new PendingCalls(callId =>
      post({kind: 'callerGone', callId}),
    );
  }

  /** Records a connection that was accepted now. */
  handleConnection(socket: Socket): void {
    const waitedMs = this.turns.getMsSince(this.turns.recordConnection());
    if (waitedMs > MAX_UNREAD_MS) {
      this.lateConnections.add(socket);
    }
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.turns.enter();
    this.changeOpenCount(req.socket, 1);
    res.once('close', () => this.changeOpenCount(req.socket, -1));
    const maxBytes = this.limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const body = await readBody(req, maxBytes);
    if (body.isErr()) {
      if (body.error === 'too-large') {
        this.refuse(res, createRefusal('body_too_large'), true);
      }
      return;
    }
    const call = this.parseCall(req, body.value);
    if ('reason' in call) {
      this.refuse(res, call, false);
      return;
    }
    const readAt = performance.now() - this.turns.getTurnMs();
    if (this.mayHaveLainUnread(req.socket)) {
      this.onLateRead('request_deferred');
      await this.turns.catchUp();
    }
    this.accept(req, res, call, body.value, performance.now() - readAt);
  }

  /** Reports whether the present request may have lain unread for long. */
  private mayHaveLainUnread(socket: Socket): boolean {
    return (
      this.lateConnections.delete(socket) ||
      this.turns.getBehindMs() > MAX_UNREAD_MS
    );
  }

  private changeOpenCount(socket: Socket, step: number): void {
    this.openRequests.set(socket, (this.openRequests.get(socket) ?? 0) + step);
  }

  private parseCall(
    req: IncomingMessage,
    body: Uint8Array,
  ): MeshCallInfo | Refusal {
    const path = req.url ?? '/';
    const {headers} = req;
    if (!path.startsWith('/')) {
      return createBadRequest('Request target; send a path');
    }
    if ((req.headersDistinct.host ?? []).length !== 1) {
      return createBadRequest('Host; send exactly one');
    }
    const headerBytes = req.rawHeaders.reduce((sum, h) => sum + h.length, 0);
    if (headerBytes > (this.limits?.maxHeaderBytes ?? Infinity)) {
      return createBadRequest('Headers; send fewer bytes');
    }
    const timeoutMs = parseDurationHeader(headers[this.headerNames.timeoutMs]);
    if (Number.isNaN(timeoutMs)) {
      return createBadRequest(
        `${this.headerNames.timeoutMs}; give remaining milliseconds`,
      );
    }
    const method = req.method ?? 'GET';
    const requestId = String(headers[this.headerNames.requestId] ?? '');
    return {
      requestId,
      parentId: parseParentId(requestId, this.nestedSeparator),
      host: headers.host ?? '',
      path,
      timeoutMs,
      bodyBytes: body.byteLength,
      fingerprint: computeFingerprint(method, path, body),
    };
  }

  private accept(
    req: IncomingMessage,
    res: ServerResponse,
    call: MeshCallInfo,
    body: Uint8Array,
    unreadMs: number,
  ): void {
    const {socket} = req;
    if (res.destroyed || socket.destroyed || socket.readableEnded) {
      this.onLateRead('caller_gone');
      return;
    }
    const callId = `${this.prefix}-${this.nextCallNumber++}`;
    const headers: HeaderRecord = {
      ...copyEndToEndHeaders(req.headers),
      [this.headerNames.callerService]: this.getService(),
    };
    const {path} = call;
    const outbound = {method: req.method ?? 'GET', path, headers, body};
    this.pending.add(callId, res, outbound);
    this.post({kind: 'callArrived', callId, call, unreadMs});
  }

  private refuse(res: ServerResponse, refusal: Refusal, close: boolean): void {
    this.onBadInput(refusal.reason);
    writeCallResult(res, refusal, close || this.shouldClose(res), 'fractions');
  }

  /**
   * Reports whether a response should close its connection. Closing discards
   * pipelined requests that are still open on the connection, so a stopping
   * proxy closes it only with the last response.
   */
  private shouldClose(res: ServerResponse): boolean {
    const {socket} = res.req;
    return this.stopping && (this.openRequests.get(socket) ?? 0) <= 1;
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
    if (res !== undefined) {
      writeCallResult(res, result, this.shouldClose(res), 'fractions');
    }
  }
}

function parseParentId(
  requestId: string,
  separator: string,
): string | undefined {
  const end = requestId.lastIndexOf(separator);
  return end > 0 ? requestId.slice(0, end) : undefined;
}
