/** An earlier value of `fleet.entry_hosts`. */
export default interface EarlierFleetSize {
  readonly entryHosts: number;
  /**
   * When a preset with another value was proposed, by the leader's clock, in milliseconds since the
   * epoch.
   */
  readonly replacedAt: number;
}
