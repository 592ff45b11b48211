import { createServer } from 'node:net';
import type { Server } from 'node:net';

// Below 32768, where systems start to take ports for outgoing connections. A port that another
// process took for such a connection can't be listened on when a host starts again.
const firstPort = 12_000;
const blockSize = 250;
const blocks = 80;

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

/** Ports on loopback that no other block has; the first port of a block marks it as taken. */
export default class PortBlock {
  private readonly mark: Server;

  private nextPort: number;

  private readonly endPort: number;

  private constructor(mark: Server, start: number) {
    this.mark = mark;
    mark.unref();
    this.nextPort = start + 1;
    this.endPort = start + blockSize;
  }

  /** Takes a block; it stays taken until it is closed or the process ends. */
  static async openBlock(): Promise<PortBlock> {
    // Blocks are tried from a different place in each process, so that few tries collide.
    const offset = process.pid % blocks;
    for (let index = 0; index < blocks; index += 1) {
      const start = firstPort + blockSize * ((offset + index) % blocks);
      const mark = await openPort(start);
      if (mark) return new PortBlock(mark, start);
    }
    throw new Error(`openBlock: all ${blocks} blocks from port ${firstPort} are taken`);
  }

  /** A port of the block that nothing listens on. */
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
    throw new Error(`takePort: no port is left below ${this.endPort}`);
  }

  /** Gives the block back. */
  close(): Promise<void> {
    return closePort(this.mark);
  }
}
