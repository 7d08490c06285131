/** Pools of keep-alive connections to peers and to the local upstream. */
import {Pool, buildConnector} from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

/** Shorter than the listeners' keep-alive timeout, so clients close first. */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/**
 * Replaces the code `ECONNRESET`, which undici treats as the end of a response
 * without a length. With another code it reports the truncation as an error.
 */
const RESET_ERROR_CODE = 'CONNECTION_RESET';

/** Creates a connector whose sockets report every reset as an error. */
function createConnector(): buildConnector.connector {
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
      callback(null, socket);
    });
  };
}

/** Connection pools by address. Empty pools of unused addresses are kept. */
export class ConnectionPools {
  private readonly pools = new Map<string, Pool>();

  /** @param maxPerAddress - Connection limit per address; undefined: none. */
  constructor(private readonly maxPerAddress: number | undefined) {}

  get(address: string): Pool {
    let pool = this.pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: this.maxPerAddress ?? null,
        pipelining: 1,
        connect: createConnector(),
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
