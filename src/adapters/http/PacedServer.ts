import { Server } from 'node:http';
import type { Socket } from 'node:net';

import PacedSocket from './PacedSocket.ts';

/** An HTTP server whose listeners get each connection as a `PacedSocket`. */
export default class PacedServer extends Server {
  // Node.js allows any duplex stream as a connection of an HTTP server.
  override emit(event: string, ...args: unknown[]): boolean {
    const [socket] = args;
    return event === 'connection'
      ? super.emit(event, new PacedSocket(socket as Socket))
      : super.emit(event, ...args);
  }
}
