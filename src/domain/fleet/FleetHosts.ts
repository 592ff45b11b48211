/** A control host as known to the other hosts of the fleet. */
export interface ControlHostInfo {
  /** Address of its peers listener; identifies the host. */
  readonly address: string;
  /** Address at which operators and upstreams reach it. */
  readonly operatorsAddress: string;
  readonly failureDomain: string;
}

/** An entry host as known to the hosts of its failure domain. */
export interface EntryHostInfo {
  readonly host: string;
  /** Address of its datagram socket. */
  readonly address: string;
  readonly failureDomain: string;
}
