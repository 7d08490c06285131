/** Keep-alive connections to peers and to the local upstream. */
import {Pool, buildConnector} from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

/** Below the keep-alive time of our servers, so that we close first. */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/**
 * The client takes a reset for the end of an answer that has no length. Under
 * another code it is what it is: the answer was cut short.
 */
const RESET_ERROR_CODE = 'CONNECTION_RESET';

/** Opens connections on which a reset never looks like the end of an answer. */
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

/** Pools by address; an unused address keeps an empty pool, which is small. */
export class ConnectionPools {
  private readonly pools = new Map<string, Pool>();

  /** @param maxPerAddress - Connections to one address; undefined: no limit. */
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
   * Leaves the connections to an address; what runs on them may finish, and
   * later requests open new ones.
   * @param address - The address.
   */
  replacePool(address: string): void {
    const pool = this.pools.get(address);
    this.pools.delete(address);
    // Rejects only where the pool was destroyed, which closes all the same.
    pool?.close().catch(() => undefined);
  }

  /** Closes all connections at once. */
  async destroy(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
  }
}
