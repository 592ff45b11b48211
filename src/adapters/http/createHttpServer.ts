import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

import type Log from '../../ports/Log.ts';
import writeClientError from './writeClientError.ts';

/** Options of a server that answers one request at a time on each connection. */
export interface HttpServerOptions {
  readonly server: ServerOptions;
  readonly log: Log;
  /** Log message for a request whose handling failed, with the prefix of its subsystem. */
  readonly failureMessage: string;
  readonly serve: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
}

/**
 * Creates a server that closes the connection of a request whose handling fails and logs the error.
 */
export default function createHttpServer(options: HttpServerOptions): Server {
  const { log, failureMessage, serve } = options;
  const server = createServer(options.server, (request, response) => {
    // A connection that was busy when the server began to close is not closed by itself.
    response.once('close', () => {
      if (!server.listening) server.closeIdleConnections();
    });
    serve(request, response).catch((error: Error) => {
      log.error(failureMessage, { error: error.message });
      response.destroy();
    });
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) =>
    writeClientError(error, socket),
  );
  return server;
}
