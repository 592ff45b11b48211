import type { PerMessageDeflateOptions } from 'ws';

/**
 * Compression of the messages between peers whose traffic is billed. The compression dictionary is
 * kept for the life of the connection, so that a heartbeat, or a preset that resembles the previous
 * one, takes few bytes.
 */
const peerCompression: PerMessageDeflateOptions = {
  // In bytes; below this size, the header of a compressed block outweighs the gain.
  threshold: 64,
  // A window of 32 KiB, and about 200 KiB of memory for each connection that was used.
  zlibDeflateOptions: { level: 6, memLevel: 7, windowBits: 15 },
};

export default peerCompression;
