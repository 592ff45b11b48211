import { connect } from 'node:net';
import type { Socket } from 'node:net';

import type { buildConnector } from 'undici';

const tcpKeepAliveDelayMs = 5000;

// undici treats ECONNRESET as the regular end of an answer without a length. With another code,
// undici reports the reset as a failure; this listener runs before undici's.
function markReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') Object.assign(error, { code: 'UPSTREAM_RESET' });
}

/**
 * Creates a connector that opens connections to upstreams within the timeout. undici checks its own
 * connect timeout only about every half second, so a timeout of 400 ms could expire after 1 s.
 * `onOpen` gets each socket once it is connected.
 */
export default function createConnector(
  timeoutMs: number,
  onOpen?: (socket: Socket) => void,
): buildConnector.connector {
  return ({ hostname, port }, callback): Socket => {
    const socket = connect({ host: hostname, port: Number(port), noDelay: true });
    socket.setKeepAlive(true, tcpKeepAliveDelayMs);
    socket.on('error', markReset);
    const endAttempt = (): void => {
      if (!socket.connecting) return;
      socket.destroy(new Error(`no connection to ${hostname}:${port} within ${timeoutMs} ms`));
    };
    // Timers run before reading, so only the end of this turn shows whether the connection is open.
    const timer = setTimeout(() => setImmediate(endAttempt), timeoutMs);
    const onError = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', onError);
      onOpen?.(socket);
      callback(null, socket);
    });
    return socket;
  };
}
