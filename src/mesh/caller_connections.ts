/** Counts the connections of callers and the requests that are open on them. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {MemoryBudget, MemoryHolder} from '../proxy/memory_budget.js';
import {MemoryHold} from '../proxy/memory_hold.js';
import {FIELD_BYTES} from './held_bytes.js';

/** Counted for a connection: its socket, parser and part of a head. */
const CONNECTION_BYTES = 16_384;

/** Counted for a request beside its head and its body: its state in all parts. */
const REQUEST_BYTES = 16_384;

/** Requests that may be open on a connection; those behind them are not read. */
export const MAX_OPEN_REQUESTS = 64;

/** Open requests above which a connection may be given up where memory is short. */
const MAX_KEPT_REQUESTS = 4;

/** Requests behind them that are parsed together before the connection is closed. */
const MAX_UNREAD_REQUESTS = 1_024;

/** Bytes of such requests together above which their connections are closed at once. */
const MAX_UNREAD_BYTES = 8 * 1_048_576;

/** Counted for such a request beside its head, until the connection closes. */
const UNREAD_REQUEST_BYTES = 4_096;

/** A request until its response is written or its connection ends. */
export class OpenRequest {
  private readonly endCallbacks: Array<() => void> = [];
  private ended = false;

  /**
   * @param hold - Counts what is held for it.
   * @param isHeld - Whether there was room for its state.
   */
  constructor(
    readonly hold: MemoryHold,
    readonly isHeld: boolean,
  ) {
    this.onEnd(() => hold.release());
  }

  /** Calls back at the end; at once if that has been. */
  onEnd(callback: () => void): void {
    if (this.ended) {
      callback();
    } else {
      this.endCallbacks.push(callback);
    }
  }

  end(): void {
    this.ended = true;
    this.endCallbacks.splice(0).forEach(callback => callback());
  }
}

interface Connection {
  readonly hold: MemoryHold;
  readonly requests: Set<OpenRequest>;
  /** The response of the request that was opened last. */
  lastResponse?: ServerResponse;
  unreadRequests: number;
  unreadBytes: number;
  /** Requests that have ended. */
  endedRequests: number;
  readonly holder: MemoryHolder;
}

export class CallerConnections {
  private readonly connections = new WeakMap<Socket, Connection>();
  /** Counted for requests that were left unread on connections that are still open. */
  private unreadBytes = 0;
  private readonly sockets = new Set<Socket>();
  private readsNothing = false;

  constructor(private readonly budget: MemoryBudget) {}

  /** Counts a connection that was accepted now, or closes it if there is no room. */
  add(socket: Socket): void {
    if (!this.getOrCreate(socket).hold.tryAdd(CONNECTION_BYTES)) {
      socket.destroy();
    }
  }

  /**
   * Opens a request.
   * @returns The request; undefined where its connection has too many, or others and there
   *     is no room: it is not read, and the connection closes after the responses before it.
   */
  open(req: IncomingMessage, res: ServerResponse): OpenRequest | undefined {
    const connection = this.getOrCreate(req.socket);
    if (
      connection.unreadRequests > 0 ||
      connection.requests.size >= MAX_OPEN_REQUESTS
    ) {
      this.leaveUnread(req, connection);
      return undefined;
    }
    const hold = new MemoryHold(this.budget);
    const isHeld = hold.tryAdd(
      REQUEST_BYTES + countReceivedHeadBytes(req, this.budget.heapFactor),
    );
    if (!isHeld && connection.requests.size > 0) {
      // A refusal would have to wait behind other responses, with the request.
      this.leaveUnread(req, connection);
      return undefined;
    }
    const request = new OpenRequest(hold, isHeld);
    connection.requests.add(request);
    connection.lastResponse = res;
    if (connection.requests.size === MAX_KEPT_REQUESTS + 1) {
      this.budget.addHolder(connection.holder);
    }
    request.onEnd(() => this.removeRequest(connection, request));
    res.once('close', () => request.end());
    return request;
  }

  private removeRequest(connection: Connection, request: OpenRequest): void {
    connection.requests.delete(request);
    connection.endedRequests += 1;
    if (connection.requests.size === MAX_KEPT_REQUESTS) {
      this.budget.removeHolder(connection.holder);
    }
  }

  /** Reports whether no other request is open on a connection. */
  isLast(socket: Socket): boolean {
    return this.getOrCreate(socket).requests.size <= 1;
  }

  private leaveUnread(req: IncomingMessage, connection: Connection): void {
    const {socket} = req;
    if (socket.destroyed) {
      return;
    }
    const {lastResponse} = connection;
    if (connection.unreadRequests === 0 && lastResponse !== undefined) {
      if (lastResponse.headersSent) {
        lastResponse.once('close', () => socket.destroySoon());
      }
      lastResponse.shouldKeepAlive = false;
      socket.pause();
    }
    connection.unreadRequests += 1;
    const bytes =
      UNREAD_REQUEST_BYTES +
      countReceivedHeadBytes(req, this.budget.heapFactor);
    connection.hold.add(bytes);
    connection.unreadBytes += bytes;
    this.unreadBytes += bytes;
    if (
      connection.unreadRequests > MAX_UNREAD_REQUESTS ||
      this.unreadBytes > MAX_UNREAD_BYTES
    ) {
      socket.destroy();
      this.readNothingInThisTurn();
    }
  }

  /** Lets what a closed connection held become free before others are read. */
  private readNothingInThisTurn(): void {
    if (this.readsNothing) {
      return;
    }
    this.readsNothing = true;
    const reading = [...this.sockets].filter(socket => !socket.isPaused());
    reading.forEach(socket => socket.pause());
    setImmediate(() => {
      this.readsNothing = false;
      reading.forEach(socket => socket.resume());
    });
  }

  private getOrCreate(socket: Socket): Connection {
    const known = this.connections.get(socket);
    if (known !== undefined) {
      return known;
    }
    const connection: Connection = {
      hold: new MemoryHold(this.budget),
      requests: new Set(),
      unreadRequests: 0,
      unreadBytes: 0,
      endedRequests: 0,
      holder: {
        get heldBytes() {
          return [...connection.requests].reduce(
            (sum, {hold}) => sum + hold.heldBytes,
            0,
          );
        },
        getProgress: () => connection.endedRequests,
        evict: () => socket.destroy(),
      },
    };
    this.connections.set(socket, connection);
    this.sockets.add(socket);
    // The response to a request behind another one does not close with its connection.
    socket.once('close', () => {
      this.sockets.delete(socket);
      connection.hold.release();
      this.unreadBytes -= connection.unreadBytes;
      [...connection.requests].forEach(request => request.end());
    });
    return connection;
  }
}

/** Counts what the head of a received request takes. */
function countReceivedHeadBytes(
  {url = '', rawHeaders}: IncomingMessage,
  heapFactor: number,
): number {
  const characters = rawHeaders.reduce((sum, s) => sum + s.length, url.length);
  // Names and values alternate.
  const fields = rawHeaders.length / 2;
  return characters + fields * FIELD_BYTES * heapFactor;
}
