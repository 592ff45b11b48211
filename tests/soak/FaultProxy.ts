import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import type { LinkFault } from './SoakPlan.ts';

const delayMs = 150;

/** Passes connections on to an upstream and harms them. */
export default class FaultProxy {
  private readonly sockets = new Set<Socket>();

  private readonly server: Server;

  private readonly targetPort: number;

  private fault: LinkFault | undefined;

  constructor(targetPort: number) {
    this.targetPort = targetPort;
    this.server = createServer((socket) => this.acceptConnection(socket));
  }

  async open(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Sets what happens to all connections; a reset also ends those that are open. */
  setFault(fault: LinkFault | undefined): void {
    this.fault = fault;
    if (fault === 'reset') this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private acceptConnection(caller: Socket): void {
    const upstream = connect(this.targetPort, '127.0.0.1');
    [caller, upstream].forEach((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => {
        this.sockets.delete(socket);
        caller.destroy();
        upstream.destroy();
      });
    });
    if (this.fault === 'reset') caller.resetAndDestroy();
    this.passBytes(caller, upstream, 'silent_to_upstream');
    this.passBytes(upstream, caller, 'silent_from_upstream');
  }

  private passBytes(from: Socket, to: Socket, silence: LinkFault): void {
    from.on('data', (chunk) => {
      // Bytes that a silent link has lost are never followed by others.
      if (this.fault === silence) from.pause();
      else if (this.fault === 'delayed') setTimeout(() => to.write(chunk), delayMs);
      else to.write(chunk);
    });
    from.once('end', () => to.end());
  }
}
