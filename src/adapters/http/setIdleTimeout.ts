import type { Server } from 'node:http';

/**
 * Sets the time after which a connection without an open request is ended, in milliseconds; see
 * `ServerConnections`.
 */
export default function setIdleTimeout(server: Server, timeoutMs: number): void {
  Object.assign(server, {
    keepAliveTimeout: timeoutMs,
    // Replaces `keepAliveTimeout` as soon as bytes follow an answer, also when they are only an
    // empty line.
    timeout: timeoutMs,
  });
}
