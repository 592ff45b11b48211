import type { IncomingMessage } from 'node:http';

import PacedSocket from './PacedSocket.ts';

/** Records that a part of the body of the request was read. */
export function markBodyRead({ socket }: IncomingMessage): void {
  if (socket instanceof PacedSocket) socket.markParsed();
}

/** Reads the rest of the body of a request and keeps nothing of it. */
export default function dropBody(request: IncomingMessage): void {
  request.on('data', () => markBodyRead(request));
}
