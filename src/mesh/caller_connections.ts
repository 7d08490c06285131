/** Counts the connections of callers and the requests that are open on them. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {MemoryBudget, MemoryHold} from '../proxy/memory_budget.js';

/** Counted for a connection: its socket, parser and part of a head. */
const CONNECTION_BYTES = 16_384;

/** Counted for a request beside its body: its head and its state in all parts. */
const REQUEST_BYTES = 16_384;

/** Requests that may be open on a connection; those behind them are not read. */
export const MAX_OPEN_REQUESTS = 64;

/** Requests behind them that are parsed together before the connection is closed. */
const MAX_UNREAD_REQUESTS = 1_024;

/** Such requests on all connections together, above which one of them is closed at once. */
const MAX_ALL_UNREAD_REQUESTS = 2_048;

/** Counted for such a request: its head and its objects, until the connection closes. */
const UNREAD_REQUEST_BYTES = 4_096;

/** A request until its response is written or its connection ends. */
export class OpenRequest {
  private readonly endCallbacks: Array<() => void> = [];
  private ended = false;

  constructor(readonly hold: MemoryHold) {
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
}

export class CallerConnections {
  private readonly connections = new WeakMap<Socket, Connection>();
  /** Requests that were left unread on connections that are still open. */
  private allUnreadRequests = 0;
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
   * @returns The request; undefined where its connection has too many: it is not read,
   *     and the connection closes after the responses before it.
   */
  open(req: IncomingMessage, res: ServerResponse): OpenRequest | undefined {
    const connection = this.getOrCreate(req.socket);
    if (
      connection.unreadRequests > 0 ||
      connection.requests.size >= MAX_OPEN_REQUESTS
    ) {
      this.leaveUnread(req.socket, connection);
      return undefined;
    }
    const request = new OpenRequest(new MemoryHold(this.budget));
    connection.requests.add(request);
    connection.lastResponse = res;
    request.onEnd(() => connection.requests.delete(request));
    res.once('close', () => request.end());
    return request;
  }

  /** Counts the state of a request; false if there is no room. */
  tryHold({hold}: OpenRequest): boolean {
    return hold.tryAdd(REQUEST_BYTES);
  }

  /** Reports whether no other request is open on a connection. */
  isLast(socket: Socket): boolean {
    return this.getOrCreate(socket).requests.size <= 1;
  }

  private leaveUnread(socket: Socket, connection: Connection): void {
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
    this.allUnreadRequests += 1;
    connection.hold.add(UNREAD_REQUEST_BYTES);
    if (
      connection.unreadRequests > MAX_UNREAD_REQUESTS ||
      this.allUnreadRequests > MAX_ALL_UNREAD_REQUESTS
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
    };
    this.connections.set(socket, connection);
    this.sockets.add(socket);
    // The response to a request behind another one does not close with its connection.
    socket.once('close', () => {
      this.sockets.delete(socket);
      connection.hold.release();
      this.allUnreadRequests -= connection.unreadRequests;
      [...connection.requests].forEach(request => request.end());
    });
    return connection;
  }
}
