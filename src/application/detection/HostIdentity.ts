/** What a host's detection tasks say about their own process. */
export default interface HostIdentity {
  readonly host: string;
  /** Start instant of this process, as in its host record. */
  readonly incarnation: number;
  readonly failureDomain: string;
}
