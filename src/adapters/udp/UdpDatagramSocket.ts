import { createHmac, createSecretKey, timingSafeEqual } from 'node:crypto';
import type { KeyObject } from 'node:crypto';
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';

import FailureError from '../../domain/errors/FailureError.ts';
import type { DomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';
import type DatagramSocket from '../../ports/DatagramSocket.ts';
import type { ReceiveMessage } from '../../ports/DatagramSocket.ts';
import type Log from '../../ports/Log.ts';
import decodeDomainMessage from './decodeDomainMessage.ts';
import encodeDomainMessage from './encodeDomainMessage.ts';
import splitDomainMessage from './splitDomainMessage.ts';

// The HMAC is truncated to this size. Forging it takes 2^64 tries, which is enough, since a forged
// datagram can only cause delay.
const macBytes = 8;
// Fits into one packet on common networks.
const maxDatagramBytes = 1400;
// Headers of UDP and IPv4.
const headerBytes = 28;

// Addresses are IP addresses, so the resolver is not needed. Its detour took longer than sending.
function resolveAddress(
  address: string,
  _family: unknown,
  callback: (error: null, address: string, family: number) => void,
): void {
  callback(null, address, 4);
}

/** Options of the socket. */
export interface UdpDatagramSocketOptions {
  readonly address: ListenAddress;
  /** Shared by all hosts of the fleet. */
  readonly peerKey: string;
  readonly log: Log;
}

/** Sends and receives messages as JSON datagrams, authenticated with the peer key of the fleet. */
export default class UdpDatagramSocket implements DatagramSocket {
  private readonly options: UdpDatagramSocketOptions;

  private readonly socket: Socket;

  /** Importing the key for each datagram took longer than the HMAC itself. */
  private readonly key: KeyObject;

  private refused = 0;

  private unsent = 0;

  private readonly traffic = {
    datagramsSent: 0,
    datagramBytesSent: 0,
    datagramsReceived: 0,
    datagramBytesReceived: 0,
  };

  private constructor(options: UdpDatagramSocketOptions) {
    this.options = options;
    this.key = createSecretKey(Buffer.from(options.peerKey));
    this.socket = createSocket({ type: 'udp4', lookup: resolveAddress });
  }

  /** Opens the socket; rejects with `address_in_use` when the address can't be bound. */
  static openSocket(options: UdpDatagramSocketOptions): Promise<UdpDatagramSocket> {
    const { ip, port } = options.address;
    const datagrams = new UdpDatagramSocket(options);
    const { socket } = datagrams;
    return new Promise((resolve, reject) => {
      socket.once('error', (error) => {
        socket.close();
        const message = `key listen.peers: value "${ip}:${port}" (UDP): ${error.message}: expected a free address of this host`;
        reject(new FailureError({ kind: 'address_in_use', message }));
      });
      socket.bind(port, ip, () => {
        socket.removeAllListeners('error');
        socket.on('error', (error) => {
          options.log.warn('peers: the datagram socket failed', { error: error.message });
        });
        resolve(datagrams);
      });
    });
  }

  /**
   * Number of received datagrams that were refused because they were damaged or not authenticated
   * with the peer key.
   */
  get refusedCount(): number {
    return this.refused;
  }

  /** Number of messages whose content was too large or that the system refused to send. */
  get unsentCount(): number {
    return this.unsent;
  }

  /** Datagrams and their bytes since the start, without the headers of UDP and IP. */
  get totals(): Readonly<Record<string, number>> {
    return { ...this.traffic };
  }

  sendMessage(message: DomainMessage, addresses: readonly string[]): number {
    const text = Buffer.from(JSON.stringify(encodeDomainMessage(message)));
    const bytes = Buffer.concat([this.createMac(text), text]);
    if (bytes.byteLength > maxDatagramBytes) return this.sendParts(message, addresses);
    addresses.forEach((address) => this.sendBytes(bytes, address));
    return addresses.length * (bytes.byteLength + headerBytes);
  }

  private sendParts(message: DomainMessage, addresses: readonly string[]): number {
    const parts = splitDomainMessage(message);
    if (parts) return parts.reduce((sum, part) => sum + this.sendMessage(part, addresses), 0);
    this.unsent += addresses.length;
    return 0;
  }

  private sendBytes(bytes: Buffer, address: string): void {
    this.traffic.datagramsSent += 1;
    this.traffic.datagramBytesSent += bytes.byteLength;
    const separator = address.lastIndexOf(':');
    const ip = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    const onSent = (error: Error | null): void => {
      if (!error) return;
      this.unsent += 1;
      this.options.log.debug('peers: a datagram was not sent', { address, error: error.message });
    };
    try {
      this.socket.send(bytes, port, ip, onSent);
    } catch (error) {
      // Thrown when the socket is closed, and for a port that is out of range.
      onSent(error as Error);
    }
  }

  onMessage(receive: ReceiveMessage): void {
    this.socket.on('message', (bytes, { address, port }) => {
      this.traffic.datagramsReceived += 1;
      this.traffic.datagramBytesReceived += bytes.byteLength;
      const message = this.decodeMessage(bytes);
      if (message) receive(message, `${address}:${port}`);
      else this.refused += 1;
    });
  }

  close(): void {
    this.socket.close();
  }

  private createMac(text: Uint8Array): Buffer {
    return createHmac('sha256', this.key).update(text).digest().subarray(0, macBytes);
  }

  private decodeMessage(bytes: Buffer): DomainMessage | undefined {
    const text = bytes.subarray(macBytes);
    const mac = bytes.subarray(0, macBytes);
    if (mac.byteLength < macBytes || !timingSafeEqual(mac, this.createMac(text))) {
      return undefined;
    }
    const message = this.parseMessage(text);
    if (!message) this.options.log.warn('detection: dropped a malformed datagram');
    return message;
  }

  private parseMessage(text: Buffer): DomainMessage | undefined {
    try {
      return decodeDomainMessage(JSON.parse(text.toString()));
    } catch {
      // A host with the key sent invalid JSON; `decodeMessage` logs it.
      return undefined;
    }
  }
}
