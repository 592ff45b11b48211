import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { once } from 'node:events';

async function isOpened(socket: Socket): Promise<boolean> {
  const opened = once(socket, 'listening').then(
    () => true,
    () => false,
  );
  socket.bind(0, '127.0.0.1');
  return opened;
}

/** Whether this process can open so many sockets at a time, in addition to its open files. */
export default async function canOpenSockets(count: number): Promise<boolean> {
  const sockets = Array.from({ length: count }, () => createSocket('udp4'));
  const results = await Promise.all(sockets.map((socket) => isOpened(socket)));
  await Promise.all(
    sockets.map(async (socket) => {
      const closed = once(socket, 'close');
      socket.close();
      await closed;
    }),
  );
  return results.every((result) => result);
}
