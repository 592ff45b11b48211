import type { Server } from 'node:http';

import type Clock from '../../ports/Clock.ts';
import type ServerConnections from './ServerConnections.ts';
import type { CloseCounts } from './ServerConnections.ts';
import stopListening from './stopListening.ts';
import type { StoppedListener } from './stopListening.ts';

/** Options of a close. */
export interface CloseServerOptions {
  readonly server: Server;
  readonly connections: ServerConnections;
  readonly clock: Clock;
  /** Returns the time at which all connections are closed; it may move while requests arrive. */
  readonly readDeadline: () => number;
  /** Time at which connections with a part of a request are ended; `Infinity` unless set. */
  readonly partsUntil?: number;
}

/** How a server closed. */
export interface ClosedServer extends CloseCounts, StoppedListener {
  /** How late idle connections were closed at the most, in milliseconds. */
  readonly idleLateMs: number;
  /** Connections with open requests or parts of requests that were closed at the deadline. */
  readonly closedLate: number;
}

/**
 * Stops accepting connections, closes each one when it is idle and resolves when all are closed. No
 * request that has arrived is cut off before the deadline.
 */
export default async function closeServer(options: CloseServerOptions): Promise<ClosedServer> {
  const { server, connections, clock, readDeadline, partsUntil = Infinity } = options;
  const stopped = await stopListening({ server, clock, deadline: readDeadline() });
  const idleLateMs = await connections.closeIdle(readDeadline, partsUntil);
  // Stops the interval that checks for overdue requests.
  server.close();
  const closedLate = connections.size;
  await connections.closeAll();
  return { ...connections.readCounts(), ...stopped, idleLateMs, closedLate };
}
