/** Sends and receives datagrams between hosts; a datagram may be lost, duplicated or delayed. */
export default interface DatagramSocket {
  /** Sends the content to each address. Never blocks; a datagram that can't be sent is dropped. */
  sendDatagrams(content: unknown, addresses: readonly string[]): void;
  /**
   * Calls `receive` for each well-formed datagram from a host that has the peer key, until the
   * socket is closed.
   */
  onDatagram(receive: (content: unknown) => void): void;
  close(): void;
}
