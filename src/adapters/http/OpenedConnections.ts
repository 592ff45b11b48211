import type { Socket } from 'node:net';

/** Counts the connections to upstreams that this host opened, and those that carried a request. */
export default class OpenedConnections {
  private opened = 0;

  /** Connections that were closed before anything was sent on them. */
  private wasted = 0;

  private readonly open = new Set<Socket>();

  /** Number of connections that were opened. */
  get openedCount(): number {
    return this.opened;
  }

  /** Number of connections on which at least one request was sent. */
  get usedCount(): number {
    const unused = [...this.open].filter(({ bytesWritten }) => bytesWritten === 0);
    return this.opened - this.wasted - unused.length;
  }

  addConnection(socket: Socket): void {
    this.opened += 1;
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      if (socket.bytesWritten === 0) this.wasted += 1;
    });
  }
}
