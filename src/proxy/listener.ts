/** Creates HTTP servers that limit the resources which one client can use. */
import {once} from 'node:events';
import {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
  createServer,
} from 'node:http';
import {AddressInfo, Server as NetServer, Socket as NetSocket} from 'node:net';
import {Duplex} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {Settings} from '../model/settings.js';
import {formatAddress, parseAddress} from './addresses.js';
import {
  closeAfterReading,
  isBehindEnd,
  recordRequest,
  rejectInput,
} from './closing_connections.js';
import {ReceiveLimits, ReceiveTimeouts} from './receive_timeouts.js';

/** Longer than the clients' keep-alive timeout, so clients close first. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const MAX_HEADER_BYTES = 16_384;

/** Longest interval of a timer. */
const NEVER_MS = 2 ** 31 - 1;

/** Code of input that a client takes too long to send. */
const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** How long an idle connection stays open for a last request at shutdown. */
const IDLE_CONNECTION_GRACE_MS = 1_000;
const IDLE_CHECK_INTERVAL_MS = 50;

/** HTTP status for input that Node's parser rejects, by error code. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [TIMEOUT_CODE]: '408 Request Timeout',
};

/** Overrides of the defaults of a listener. */
export interface ListenerOptions {
  readonly maxHeaderBytes?: number;
  /** Overrides of the time limits, which otherwise follow `receiveTimeoutMs`. */
  readonly receiveLimits?: Partial<ReceiveLimits>;
}

export interface Listener {
  readonly server: Server;
  /** The address on which the server listens, with the actual port. */
  readonly address: string;
  /** Time limits for what clients send; they may be changed. */
  readonly receiveLimits: ReceiveLimits;
  /** Resolves once the server has stopped and its last connection has ended. */
  readonly closed: Promise<unknown>;
  /** Counts the bytes of responses that the operating system has not taken yet. */
  countUnsentBytes(): number;
  /** Closes the connections that have no response to write. */
  closeIdle(): void;
}

/**
 * Starts an HTTP server.
 * @param address - Address to listen on; port 0 lets the system choose a port.
 * @param limits - Time limits for receiving a request.
 * @param maxConnections - Maximum number of open connections.
 * @param onMalformedInput - Called with an error code for each rejected
 *     connection: one with malformed input, or one above `maxConnections`.
 * @param handle - Handles well-formed requests.
 * @param options - Overrides of the defaults.
 * @returns The listener, once it accepts connections.
 */
export async function listen(
  address: string,
  limits: Pick<Settings['limits'], 'receiveTimeoutMs'>,
  maxConnections: number,
  onMalformedInput: (kind: string) => void,
  handle: RequestListener,
  options: ListenerOptions = {},
): Promise<Listener> {
  const sockets = new Set<NetSocket>();
  const lastResponses = new WeakMap<Duplex, ServerResponse>();
  const server = createServer(
    {
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      // `ReceiveTimeouts` limits these instead: the timeouts of Node.js count the time
      // before a connection's first request, and leave the connection readable.
      requestTimeout: 0,
      headersTimeout: 0,
      connectionsCheckingInterval: NEVER_MS,
      maxHeaderSize: options.maxHeaderBytes ?? MAX_HEADER_BYTES,
      noDelay: true,
    },
    (req, res) => {
      recordRequest(req);
      if (isBehindEnd(req)) {
        onMalformedInput('after_close');
        req.resume();
        return;
      }
      lastResponses.set(req.socket, res);
      handle(req, res);
    },
  );
  server.maxConnections = maxConnections;
  const {receiveTimeoutMs} = limits;
  const receiveLimits = {
    headMs: receiveTimeoutMs,
    idleMs: KEEP_ALIVE_TIMEOUT_MS,
    bodyMs: receiveTimeoutMs,
    ...options.receiveLimits,
  };
  const timeouts = new ReceiveTimeouts(
    receiveLimits,
    socket => lastResponses.get(socket),
    (socket, part) => {
      if (part === 'first-request') {
        rejectInput(socket, false);
        closeAfterReading(socket);
        return;
      }
      onMalformedInput(TIMEOUT_CODE);
      rejectMalformedInput(socket, lastResponses.get(socket), TIMEOUT_CODE);
    },
  );
  server.on('close', () => timeouts.stop());
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    timeouts.add(socket);
    // The HTTP server calls it after a response that closes the connection.
    socket.destroySoon = () => {
      if (isLastRequest(lastResponses.get(socket)?.req)) {
        NetSocket.prototype.destroySoon.call(socket);
      } else {
        closeAfterReading(socket);
      }
    };
  });
  server.on('drop', () => onMalformedInput('too_many_connections'));
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const code = error.code ?? 'unknown';
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    onMalformedInput(code);
    rejectMalformedInput(socket, lastResponses.get(socket), code);
  });
  const {host, port} = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    server,
    address: formatAddress(server.address() as AddressInfo),
    receiveLimits,
    closed: once(server, 'close'),
    countUnsentBytes: () =>
      [...sockets].reduce((sum, {writableLength}) => sum + writableLength, 0),
    closeIdle: () => {
      for (const socket of sockets) {
        const response = lastResponses.get(socket);
        if (response === undefined || response.closed) {
          socket.destroy();
        }
      }
    },
  };
}

/** Reports whether a request was read whole and its caller sends nothing behind it. */
function isLastRequest(req: IncomingMessage | undefined): boolean {
  return req?.complete === true && req.headers.connection === 'close';
}

/**
 * Ends a connection after malformed or overdue input, behind which nothing is handled.
 * Sends the error only if the client cannot mistake it for the answer to an earlier
 * request, which may be running.
 */
function rejectMalformedInput(
  socket: Duplex,
  lastResponse: ServerResponse | undefined,
  code: string,
): void {
  const isBody = lastResponse?.req.complete === false;
  rejectInput(socket, isBody);
  if (lastResponse === undefined || lastResponse.closed) {
    endWithError(socket, code);
    return;
  }
  if (!isBody) {
    lastResponse.once('close', () => socket.end());
    return;
  }
  // The malformed input is the body of the last request. Its response gets a
  // socket once the responses before it have ended.
  if (lastResponse.headersSent) {
    socket.end();
  } else if (lastResponse.socket !== null) {
    endWithError(socket, code);
  } else {
    socket.destroy();
  }
}

function endWithError(socket: Duplex, code: string): void {
  const status = STATUS_BY_ERROR_CODE[code] ?? '400 Bad Request';
  const body = JSON.stringify({
    error: {
      code: 'bad_request',
      outcome: 'not-run',
      message: `The request was not accepted (${code}); send well-formed HTTP within the limits.`,
    },
  });
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Type: application/json\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

/**
 * Stops accepting connections. Open connections stay, even idle ones: closing
 * one just as its client sends a request would lose that request.
 * @param listener - The listener.
 */
export function stopAccepting({server}: Listener): void {
  if (server.listening) {
    // The HTTP server's own method also closes idle connections.
    NetServer.prototype.close.call(server);
  }
}

/**
 * Stops accepting connections, waits a grace period in which connections end
 * with their next answer, then closes those that are idle until none is left. The
 * server's own method counts a connection as idle while its response is still written.
 * @param listener - The listener.
 */
export async function closeGracefully(listener: Listener): Promise<void> {
  stopAccepting(listener);
  let isClosed = false;
  const closed = listener.closed.then(() => (isClosed = true));
  await Promise.race([closed, sleep(IDLE_CONNECTION_GRACE_MS)]);
  while (!isClosed) {
    listener.closeIdle();
    await Promise.race([closed, sleep(IDLE_CHECK_INTERVAL_MS)]);
  }
}
