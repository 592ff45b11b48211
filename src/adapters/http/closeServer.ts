import type { Server } from 'node:http';

/** Stops accepting connections, closes idle ones and resolves when all connections are closed. */
export default function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
