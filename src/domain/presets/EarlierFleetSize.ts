/** A `fleet.entry_hosts` that was in force before. */
export default interface EarlierFleetSize {
  readonly entryHosts: number;
  /** When a preset with another number was proposed, in the leader's time. */
  readonly replacedAt: number;
}
