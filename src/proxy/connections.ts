/** Keep-alive connections to peers and to the local upstream. */
import {Pool} from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

/** Below the keep-alive time of our servers, so that we close first. */
const KEEP_ALIVE_MS = 20_000;

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
        connectTimeout: CONNECT_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_MS,
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
  renew(address: string): void {
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
