import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import SeededRandom from '../fixtures/SeededRandom.ts';
import type { DatagramStep, StrangerStep } from './SoakPlan.ts';
import crowdInputs from './crowdInputs.ts';
import strangerInputs from './strangerInputs.ts';

const inputs = { ...strangerInputs, ...crowdInputs };
const maxDatagramBytes = 1400;

/** Where strangers send to. */
export interface StrangerTarget {
  readonly address: string;
  readonly port: number;
}

async function openStranger(
  { address, port }: StrangerTarget,
  { input, ending, forMs }: StrangerStep,
  id: string,
): Promise<void> {
  const socket = connect({ host: address, port, allowHalfOpen: true });
  socket.on('error', () => undefined);
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  socket.on('data', () => {
    if (ending === 'reset_on_answer') socket.resetAndDestroy();
  });
  socket.once('connect', () => {
    if (input === 'unread_requests') socket.pause();
    socket.write(inputs[input](id), 'latin1');
    if (ending === 'reset') socket.resetAndDestroy();
    if (ending === 'half_close') socket.end();
  });
  await Promise.race([closed, sleep(forMs)]);
  if (ending === 'late_reset' && !socket.destroyed) socket.resetAndDestroy();
  socket.destroy();
  await closed;
}

/** Opens the connections of a step at once and resolves when all have ended. */
export default async function sendStrangers(
  target: StrangerTarget,
  step: StrangerStep,
): Promise<void> {
  const ids = Array.from(
    { length: step.count },
    (_, index) => `s${step.atMs}-${step.target}-${index}`,
  );
  await Promise.all(ids.map((id) => openStranger(target, step, id)));
}

/** Sends datagrams of random bytes; the same step sends the same bytes. */
export async function sendDatagrams(
  { address, port }: StrangerTarget,
  { count, atMs }: DatagramStep,
): Promise<void> {
  const random = new SeededRandom(atMs);
  const socket = createSocket('udp4').on('error', () => undefined);
  Array.from({ length: count }, () => Math.floor(maxDatagramBytes * random.next())).forEach(
    (length) => {
      const bytes = Array.from({ length }, () => Math.floor(256 * random.next()));
      socket.send(Buffer.from(bytes), port, address);
    },
  );
  // Datagrams are sent in order, so the others are out once this one is.
  socket.send('', port, address, () => socket.close());
  await once(socket, 'close');
}
