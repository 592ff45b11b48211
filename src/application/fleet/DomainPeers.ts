/** Options of the peers. */
export interface DomainPeersOptions {
  readonly ownAddress: string;
  /** Addresses of the entry hosts of the failure domain; this host may be among them. */
  readonly listAddresses: () => readonly string[];
}

/** The other entry hosts of the failure domain of this host. */
export default class DomainPeers {
  private readonly options: DomainPeersOptions;

  constructor(options: DomainPeersOptions) {
    this.options = options;
  }

  /** Lists the addresses of the other hosts. */
  listOthers(): readonly string[] {
    const { ownAddress, listAddresses } = this.options;
    return listAddresses().filter((address) => address !== ownAddress);
  }

  /**
   * Lists the other hosts in an order that begins `offset` places after this host and is the same
   * for all hosts otherwise.
   */
  listFrom(offset: number): readonly string[] {
    const others = [...this.listOthers()].sort();
    const next = others.findIndex((address) => address > this.options.ownAddress);
    const start = (Math.max(0, next) + offset) % Math.max(1, others.length);
    return [...others.slice(start), ...others.slice(0, start)];
  }
}
