/** Identity of the host process that a detection task runs in. */
export default interface HostIdentity {
  readonly host: string;
  /** Incarnation of this process, as in its host record. */
  readonly incarnation: number;
  readonly failureDomain: string;
}
