import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http';

import { plainConnectionLimits } from '../../domain/memory/ConnectionLimits.ts';
import BufferBudget from '../../domain/requests/BufferBudget.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import ConnectionPacing from './ConnectionPacing.ts';
import type ListenerConnections from './ListenerConnections.ts';
import PacedServer from './PacedServer.ts';
import ServerConnections from './ServerConnections.ts';
import setIdleTimeout from './setIdleTimeout.ts';

// How often Node.js looks for requests that are overdue; a small part of the servers' timeouts,
// in milliseconds.
const connectionsCheckingInterval = 500;

/** Options of a server that answers one request at a time on each connection. */
export interface HttpServerOptions {
  readonly server: ServerOptions;
  readonly clock: Clock;
  readonly log: Log;
  /** Log message for a request whose handling failed, with the prefix of its subsystem. */
  readonly failureMessage: string;
  /** Memory of the connections; unless set, there is no limit. */
  readonly budget?: BufferBudget | undefined;
  /** Counts the connections of the server. */
  readonly listenerConnections?: ListenerConnections | undefined;
  readonly serve: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
}

/** A server and its connections. */
export interface HttpServer {
  readonly server: Server;
  readonly connections: ServerConnections;
}

/**
 * Creates a server that closes the connection of a request whose handling fails and logs the error.
 */
export default function createHttpServer(options: HttpServerOptions): HttpServer {
  const { clock, log, failureMessage, serve } = options;
  const server = new PacedServer({ connectionsCheckingInterval, ...options.server });
  const { budget = new BufferBudget({ maxBytes: Infinity }), listenerConnections } = options;
  const limits = plainConnectionLimits;
  new ConnectionPacing({ clock, limits, budget, listenerConnections }).watchServer(server);
  listenerConnections?.watchRequests(server);
  setIdleTimeout(server, server.keepAliveTimeout);
  const connections = new ServerConnections({ server, clock });
  server.on('request', (request, response) => {
    if (!connections.acceptRequest(request.socket, response)) return;
    if (!server.listening && connections.markLastAnswer(request.socket, response)) {
      response.shouldKeepAlive = false;
    }
    serve(request, response).catch((error: Error) => {
      log.error(failureMessage, { error: error.message });
      response.destroy();
    });
  });
  return { server, connections };
}
