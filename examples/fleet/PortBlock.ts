import { createServer } from 'node:net';
import type { Server } from 'node:net';

// All blocks are below 32768, where the ephemeral ports begin. Otherwise an outgoing connection of
// another process could use a port of the block, and a restarted host could not listen on it.
const firstPort = 12_000;
const blockSize = 250;
const blockCount = 80;

function openPort(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

function closePort(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}

/** A block of loopback ports for one fleet; a listener on its first port reserves the block. */
export default class PortBlock {
  private readonly reservation: Server;

  private nextPort: number;

  private readonly endPort: number;

  private constructor(reservation: Server, start: number) {
    this.reservation = reservation;
    reservation.unref();
    this.nextPort = start + 1;
    this.endPort = start + blockSize;
  }

  /** Reserves a free block until it is closed or the process exits; throws when none is free. */
  static async openBlock(): Promise<PortBlock> {
    // Each process starts its search at a different block, so that few attempts collide.
    const offset = process.pid % blockCount;
    for (let index = 0; index < blockCount; index += 1) {
      const start = firstPort + blockSize * ((offset + index) % blockCount);
      const reservation = await openPort(start);
      if (reservation) return new PortBlock(reservation, start);
    }
    throw new Error(`openBlock: all ${blockCount} blocks from port ${firstPort} are in use`);
  }

  /** Returns the next port of the block on which nothing listens; throws when none remains. */
  async takePort(): Promise<number> {
    while (this.nextPort < this.endPort) {
      const port = this.nextPort;
      this.nextPort += 1;
      const server = await openPort(port);
      if (server) {
        await closePort(server);
        return port;
      }
    }
    throw new Error(`takePort: the block has no free port below ${this.endPort}`);
  }

  /** Releases the block. */
  close(): Promise<void> {
    return closePort(this.reservation);
  }
}
