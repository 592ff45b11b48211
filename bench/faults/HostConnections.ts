interface IdleConnection {
  readonly since: number;
}

/** Idle connections of the entry hosts to the upstreams of a simulated service. */
export default class HostConnections {
  private readonly keepAliveMs: number;

  /** Idle connections by host and upstream; the newest one is last. */
  private readonly idle = new Map<object, Map<string, IdleConnection[]>>();

  /** Number of connections that were opened. */
  openedCount = 0;

  constructor(options: { readonly keepAliveMs: number }) {
    this.keepAliveMs = options.keepAliveMs;
  }

  hasIdle(host: object, upstream: string, now: number): boolean {
    const newest = this.idle.get(host)?.get(upstream)?.at(-1);
    return newest !== undefined && now - newest.since < this.keepAliveMs;
  }

  /** Takes the newest idle connection, or opens one. */
  takeConnection(host: object, upstream: string, now: number): void {
    if (!this.listIdle(host, upstream, now).pop()) this.openedCount += 1;
  }

  /** Opens a connection that carries one request only. */
  openSingleUse(): void {
    this.openedCount += 1;
  }

  /** Keeps the connection of an answered request. */
  keepConnection(host: object, upstream: string, now: number): void {
    this.listIdle(host, upstream, now).push({ since: now });
  }

  private listIdle(host: object, upstream: string, now: number): IdleConnection[] {
    const upstreams = this.idle.get(host) ?? new Map<string, IdleConnection[]>();
    const open = (upstreams.get(upstream) ?? []).filter(
      ({ since }) => now - since < this.keepAliveMs,
    );
    upstreams.set(upstream, open);
    this.idle.set(host, upstreams);
    return open;
  }
}
