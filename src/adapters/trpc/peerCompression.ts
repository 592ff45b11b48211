import type { PerMessageDeflateOptions } from 'ws';

/**
 * Compression of the messages between peers whose bytes are paid for. The dictionary lasts as long
 * as the connection, so that a preset costs little that is much like the one before it, and so does
 * a heartbeat.
 */
const peerCompression: PerMessageDeflateOptions = {
  // Bytes; below this the header of a compressed block eats the gain.
  threshold: 64,
  // A window of 32 KiB and about 200 KiB of memory for a connection that was used.
  zlibDeflateOptions: { level: 6, memLevel: 7, windowBits: 15 },
};

export default peerCompression;
