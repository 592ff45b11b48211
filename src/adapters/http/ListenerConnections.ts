import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';

// An operator needs no more lines to see that connections are closed; the counter has the rest.
const logIntervalMs = 1000;

/** A connection that was closed because it held more than it may. */
export interface ClosedConnection {
  /** Name of the limit. */
  readonly limit: 'memory' | 'requests_ahead' | 'unread_answer';
  readonly address: string | undefined;
  readonly openRequests: number | undefined;
  readonly unreadBytes: number;
}

/** Options of the connections of one listener. */
export interface ListenerConnectionsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Name of the listener in the settings, for example `callers`. */
  readonly listener: string;
  readonly maxConnections: number;
  /** Maximum number of unproven connections; `maxConnections` unless set. */
  readonly maxUnproven?: number;
}

/**
 * Counts the open connections of one listener and limits their number. A connection is unproven
 * until it has sent what the listener expects: the head of a request, or the peer key. Beyond the
 * limit, the oldest unproven connection is closed, which is the new one when all others are proven:
 * so connections that send nothing don't keep out those that do.
 */
export default class ListenerConnections {
  /** Number of connections that were accepted, with those that were closed because of the limit. */
  acceptedCount = 0;

  /** Number of connections that were closed because of the limit. */
  refusedCount = 0;

  /** Number of connections that were closed because they held more than they may. */
  closedCount = 0;

  private readonly options: ListenerConnectionsOptions;

  private readonly open = new Set<Socket>();

  /** In the order of their arrival. */
  private readonly unproven = new Set<Socket>();

  private loggedCount = 0;

  private loggedClosed = 0;

  private nextClosedLogAt = -Infinity;

  private nextLogAt = -Infinity;

  constructor(options: ListenerConnectionsOptions) {
    this.options = options;
  }

  get listener(): string {
    return this.options.listener;
  }

  get openCount(): number {
    return this.open.size;
  }

  get unprovenCount(): number {
    return this.unproven.size;
  }

  /** Counts and limits the connections of a server. */
  watchServer(server: Server): void {
    server.on('connection', (socket) => this.addConnection(socket));
  }

  /** The same for a server on which the head of a request proves the connection. */
  watchRequests(server: Server): void {
    this.watchServer(server);
    // Before the listener that answers, so that it sees the connection as proven.
    server.prependListener('request', ({ socket }) => this.markProven(socket));
  }

  /** Records that a connection has sent what the listener expects. */
  markProven(socket: Socket): void {
    this.unproven.delete(socket);
  }

  /** Counts a connection that was closed because of what it held. */
  recordClosed(closed: ClosedConnection): void {
    const { clock, log, listener } = this.options;
    this.closedCount += 1;
    if (clock.now() < this.nextClosedLogAt) return;
    this.nextClosedLogAt = clock.now() + logIntervalMs;
    log.warn('lifecycle: a connection was closed: it held more than it may', {
      listener,
      ...closed,
      closed: this.closedCount - this.loggedClosed,
    });
    this.loggedClosed = this.closedCount;
  }

  private addConnection(socket: Socket): void {
    const { maxConnections, maxUnproven = maxConnections } = this.options;
    this.acceptedCount += 1;
    this.open.add(socket);
    this.unproven.add(socket);
    socket.once('close', () => this.removeConnection(socket));
    if (this.open.size <= maxConnections && this.unproven.size <= maxUnproven) return;
    const [oldest] = this.unproven;
    if (oldest) this.refuseConnection(oldest);
  }

  private removeConnection(socket: Socket): void {
    this.open.delete(socket);
    this.unproven.delete(socket);
  }

  private refuseConnection(socket: Socket): void {
    this.refusedCount += 1;
    this.removeConnection(socket);
    this.writeLine(socket);
    socket.destroy();
  }

  private writeLine(socket: Socket): void {
    const { clock, log, listener, maxConnections } = this.options;
    if (clock.now() < this.nextLogAt) return;
    this.nextLogAt = clock.now() + logIntervalMs;
    log.warn('lifecycle: a connection was closed: the listener has as many as it may have', {
      listener,
      address: socket.remoteAddress,
      maxConnections,
      open: this.openCount,
      unproven: this.unprovenCount,
      refused: this.refusedCount - this.loggedCount,
    });
    this.loggedCount = this.refusedCount;
  }
}
