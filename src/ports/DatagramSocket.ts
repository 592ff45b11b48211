import type { DomainMessage } from '../domain/fleet/DomainMessage.ts';

/** Receives a message and the address of its sender. */
export type ReceiveMessage = (message: DomainMessage, from: string) => void;

/** Sends and receives messages between hosts; a message may be lost, duplicated or delayed. */
export default interface DatagramSocket {
  /**
   * Sends a message to each address and returns the bytes that this takes on the link. Never
   * blocks; a message that can't be sent is dropped.
   */
  sendMessage(message: DomainMessage, addresses: readonly string[]): number;
  /**
   * Calls `receive` for each well-formed message from a host that has the peer key, until the
   * socket is closed.
   */
  onMessage(receive: ReceiveMessage): void;
  close(): void;
}
