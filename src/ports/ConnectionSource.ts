/** Knows the connections of this host to upstreams. */
export default interface ConnectionSource {
  /**
   * Whether a request that may be repeated would be sent on a connection to the address that is
   * open and not in use.
   */
  hasIdleConnection(address: string): boolean;
}
