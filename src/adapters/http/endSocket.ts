import type { Duplex } from 'node:stream';

// Time in which the other side reads the last answer and closes; as long as the time in which a
// refused caller of the callers listener may stop sending.
const closeTimeoutMs = 500;

/**
 * Writes the last answer on a connection that no server reads any more, discards what still
 * arrives, and closes the connection when the other side has closed it, or soon after. Without a
 * reader, the end of the other side would never be noticed.
 */
export default function endSocket(socket: Duplex, answer: string | Uint8Array): void {
  const timer = setTimeout(() => socket.destroy(), closeTimeoutMs);
  socket.once('close', () => clearTimeout(timer));
  socket.end(answer);
  socket.resume();
}
