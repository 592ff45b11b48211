import { Pool } from 'undici';

/** The connections to upstreams that undici keeps alive between requests. */
export default class KeptConnections {
  /** Pools with an open connection, by origin. */
  private readonly pools = new Map<string, Pool>();

  /** Creates the pool of an origin; an `Agent` calls this as its factory. */
  createPool(origin: string | URL, options: object): Pool {
    const key = String(origin);
    const pool = new Pool(origin, options);
    pool.on('connect', () => this.pools.set(key, pool));
    pool.on('disconnect', () => {
      // A pool that replaced this one may have the same origin.
      const isLast = this.pools.get(key) === pool && pool.stats.connected === 0;
      if (isLast) this.pools.delete(key);
    });
    return pool;
  }

  /** Number of connections that are open and not in use. */
  get idleCount(): number {
    return [...this.pools.values()].reduce((sum, { stats }) => sum + stats.free, 0);
  }

  /** Whether a connection to the origin is open and not in use, and no request waits for one. */
  hasIdle(origin: string): boolean {
    const stats = this.pools.get(origin)?.stats;
    return stats !== undefined && stats.free > 0 && stats.queued === 0;
  }
}
