/** Pools of keep-alive connections to peers and to the local upstream. */
import {Socket} from 'node:net';
import {Pool, buildConnector} from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

/** Shorter than the listeners' keep-alive timeout, so clients close first. */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/**
 * Replaces the code `ECONNRESET`, which undici treats as the end of a response
 * without a length. With another code it reports the truncation as an error.
 */
const RESET_ERROR_CODE = 'CONNECTION_RESET';

/** Code of the error that ends a connection whose answer has no end. */
export const ENDLESS_ANSWER_CODE = 'ENDLESS_ANSWER';

/** Most bytes that one answer may have on a connection, its head included. */
const DEFAULT_MAX_ANSWER_BYTES = 72 * 1_048_576;

/**
 * Destroys a socket that receives more bytes for one request than an answer may
 * have. The HTTP client limits only header fields: a status line, informational
 * heads or the extension of a chunk would be read until the deadline.
 */
function limitAnswers(socket: Socket, maxBytes: number): void {
  let writtenBytes = 0;
  let receivedBytes = 0;
  let answerStart = 0;
  socket.prependListener('readable', () => {
    if (socket.bytesWritten !== writtenBytes) {
      // A further request has been sent since the last bytes arrived.
      writtenBytes = socket.bytesWritten;
      answerStart = receivedBytes;
    }
    receivedBytes = socket.bytesRead;
    if (receivedBytes - answerStart > maxBytes) {
      const error: NodeJS.ErrnoException = new Error(
        `The server sent more than ${maxBytes} bytes for one request.`,
      );
      error.code = ENDLESS_ANSWER_CODE;
      socket.destroy(error);
    }
  });
}

/**
 * Reports an end of input that a reset caused as an error. Where the last bytes and a
 * reset arrive together, Node.js reads the bytes and reports an end instead of the error.
 */
function detectResetAtEnd(socket: Socket): void {
  const push = socket.push.bind(socket);
  socket.push = (chunk, encoding) => {
    // A connection that was reset has no peer any more; one that was ended has.
    if (chunk === null && socket.remoteAddress === undefined) {
      socket.destroy(createResetError());
      return false;
    }
    return push(chunk, encoding);
  };
}

function createResetError(): NodeJS.ErrnoException {
  const error: NodeJS.ErrnoException = new Error('The connection was reset.');
  error.code = RESET_ERROR_CODE;
  return error;
}

/** Creates a connector whose sockets report every reset as an error. */
function createConnector(maxAnswerBytes: number): buildConnector.connector {
  const connect = buildConnector({timeout: CONNECT_TIMEOUT_MS});
  return (options, callback) => {
    connect(options, (...[error, socket]) => {
      if (error !== null) {
        callback(error, null);
        return;
      }
      socket.prependListener('error', (cause: NodeJS.ErrnoException) => {
        if (cause.code === 'ECONNRESET') {
          cause.code = RESET_ERROR_CODE;
        }
      });
      detectResetAtEnd(socket);
      limitAnswers(socket, maxAnswerBytes);
      callback(null, socket);
    });
  };
}

/** Connection pools by address. Empty pools of unused addresses are kept. */
export class ConnectionPools {
  private readonly pools = new Map<string, Pool>();

  /**
   * @param maxPerAddress - Connection limit per address; undefined: none.
   * @param maxAnswerBytes - Most bytes of one answer, its head included.
   */
  constructor(
    private readonly maxPerAddress: number | undefined,
    private readonly maxAnswerBytes = DEFAULT_MAX_ANSWER_BYTES,
  ) {}

  get(address: string): Pool {
    let pool = this.pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: this.maxPerAddress ?? null,
        pipelining: 1,
        connect: createConnector(this.maxAnswerBytes),
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
      });
      this.pools.set(address, pool);
    }
    return pool;
  }

  /**
   * Stops using the open connections to an address. Requests in progress on
   * them may finish; later requests open new connections.
   * @param address - The address.
   */
  replacePool(address: string): void {
    const pool = this.pools.get(address);
    this.pools.delete(address);
    // Rejects only if the pool was destroyed, which closes the connections too.
    pool?.close().catch(() => undefined);
  }

  /** Closes all connections immediately, failing requests in progress. */
  async destroy(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
  }
}
