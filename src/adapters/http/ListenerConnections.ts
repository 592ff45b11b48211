import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Options of the connections of one listener. */
export interface ListenerConnectionsOptions {
  /** Name of the listener in the settings, for example `callers`. */
  readonly listener: string;
}

/**
 * Counts the open connections of one listener. A connection is unproven until it has sent what the
 * listener expects: the head of a request, or the peer key.
 */
export default class ListenerConnections {
  readonly listener: string;

  private readonly open = new Set<Socket>();

  private readonly unproven = new Set<Socket>();

  constructor({ listener }: ListenerConnectionsOptions) {
    this.listener = listener;
  }

  get openCount(): number {
    return this.open.size;
  }

  get unprovenCount(): number {
    return this.unproven.size;
  }

  /** Counts the connections of a server. */
  watchServer(server: Server): void {
    server.on('connection', (socket) => this.addConnection(socket));
  }

  /** Counts the connections of a server on which the head of a request proves the connection. */
  watchRequests(server: Server): void {
    this.watchServer(server);
    server.on('request', ({ socket }) => this.markProven(socket));
  }

  /** Records that a connection has sent what the listener expects. */
  markProven(socket: Socket): void {
    this.unproven.delete(socket);
  }

  private addConnection(socket: Socket): void {
    this.open.add(socket);
    this.unproven.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.unproven.delete(socket);
    });
  }
}
