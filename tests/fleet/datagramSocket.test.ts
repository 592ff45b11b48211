import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import PortBlock from '../../examples/fleet/PortBlock.ts';
import UdpDatagramSocket from '../../src/adapters/udp/UdpDatagramSocket.ts';
import splitDomainMessage from '../../src/adapters/udp/splitDomainMessage.ts';
import { emptyDomainMessage } from '../../src/domain/fleet/DomainMessage.ts';
import type { DomainMessage } from '../../src/domain/fleet/DomainMessage.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const peerKey = 'a key of the test fleet';
const ip = '127.0.0.1';

function createSuspicions(count: number): DomainMessage['suspicions'] {
  return Array.from({ length: count }, (_, index) => ({
    upstream: `i-5d519d${1000 + index}`,
    incarnation: 1_800_000_000_000 + index,
    kind: 'broken',
  }));
}

describe('UdpDatagramSocket', () => {
  let block: PortBlock;
  let addresses: readonly string[];
  let sockets: readonly UdpDatagramSocket[];
  let received: { readonly message: DomainMessage; readonly from: string }[];

  beforeEach(async () => {
    const log = new SilentLog();
    block = await PortBlock.openBlock();
    const ports = [await block.takePort(), await block.takePort()];
    addresses = ports.map((port) => `${ip}:${port}`);
    sockets = await Promise.all(
      ports.map((port) => UdpDatagramSocket.openSocket({ address: { ip, port }, peerKey, log })),
    );
    received = [];
    sockets[1]?.onMessage((message, from) => received.push({ message, from }));
  });

  afterEach(async () => {
    sockets.forEach((socket) => socket.close());
    await block.close();
  });

  async function waitReceived(isDone: () => boolean): Promise<void> {
    for (let tries = 0; tries < 400 && !isDone(); tries += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }

  // A host of the grown fleet suspects some 60 upstreams. Guards against a host that starts and
  // receives none of them, because they don't fit into one datagram.
  it('should send a message that is too large for one datagram in several', async () => {
    const suspicions = createSuspicions(90);
    const message = { ...emptyDomainMessage, suspicions, asksSuspicions: true };

    const bytes = sockets[0]?.sendMessage(message, addresses.slice(1));
    const listReceived = () => received.flatMap((datagram) => datagram.message.suspicions);
    await waitReceived(() => listReceived().length >= suspicions.length);

    expect(listReceived()).toEqual(suspicions);
    expect(received.filter(({ message: part }) => part.asksSuspicions)).toHaveLength(1);
    expect(received.every(({ from }) => from === addresses[0])).toBe(true);
    expect(sockets[0]?.unsentCount).toBe(0);
    expect(bytes).toBe(Number(sockets[0]?.totals.datagramBytesSent) + 28 * received.length);
  });

  // Guards against a host that ends because another one has told it an address that can't be used.
  it.each(['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:', '999.0.0.1:5', '[::1]:5', 'x'])(
    'should drop a message to the address %s and send it to the others',
    async (address) => {
      const message = { ...emptyDomainMessage, suspicions: createSuspicions(1) };

      sockets[0]?.sendMessage(message, [address, ...addresses.slice(1)]);
      await waitReceived(() => received.length > 0);

      expect(received).toHaveLength(1);
      expect(sockets[0]?.unsentCount).toBe(1);
    },
  );

  // Guards against a host that ends with an error, and loses answers, because the attempt of a
  // request ends after its socket was closed.
  it('should drop a message when it is closed', async () => {
    const address = { ip, port: await block.takePort() };
    const socket = await UdpDatagramSocket.openSocket({ address, peerKey, log: new SilentLog() });
    socket.close();

    socket.sendMessage({ ...emptyDomainMessage, suspicions: createSuspicions(1) }, addresses);

    expect(socket.unsentCount).toBe(addresses.length);
  });

  it('should not split a message with a single item', () => {
    const message = { ...emptyDomainMessage, suspicions: createSuspicions(1) };

    expect(splitDomainMessage(message)).toBeUndefined();
  });
});
