/** Sends and receives datagrams between hosts; any of them may be lost, doubled or late. */
export default interface DatagramSocket {
  /** Sends the same to each address. Never blocks; a datagram that can't be sent is lost. */
  sendDatagrams(content: unknown, addresses: readonly string[]): void;
  /** Calls back for each well-formed datagram of a host that has the key, until it is closed. */
  onDatagram(receive: (content: unknown) => void): void;
  close(): void;
}
