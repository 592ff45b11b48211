/** A control host as the other hosts of the fleet know it. */
export interface ControlHostInfo {
  /** Address of its peers listener; it names the host. */
  readonly address: string;
  /** Address at which operators and upstreams reach it. */
  readonly operatorsAddress: string;
  readonly failureDomain: string;
}

/** An entry host as the hosts of its failure domain know it. */
export interface EntryHostInfo {
  readonly host: string;
  /** Address of its datagrams. */
  readonly address: string;
  readonly failureDomain: string;
}
