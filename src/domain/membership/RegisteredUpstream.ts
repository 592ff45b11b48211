/**
 * Lifecycle state of a registered upstream. `gone` is the tombstone of a run that has left; a
 * `silent` upstream returns with its next announcement.
 */
export type RegisteredState = 'serving' | 'leaving' | 'silent' | 'gone';

/** What an upstream publishes about itself in one announcement. */
export interface Registration {
  readonly upstream: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: 'serving' | 'leaving';
  /**
   * Start of this run by the upstream's clock, in milliseconds since the epoch; 0 when not
   * announced.
   */
  readonly bornAt: number;
  /** Increases with each announcement of a run. */
  readonly sequence: number;
  /** How long the upstream remains slow after its start, while it warms up, in milliseconds. */
  readonly warmMs: number;
}

/**
 * An upstream as the control group stores it. The tombstone of a run that was never registered has
 * only its name and `bornAt`; its other fields are empty or 0.
 */
export default interface RegisteredUpstream extends Omit<Registration, 'state'> {
  readonly state: RegisteredState;
  /** Address of the peers listener of the control host that receives the announcements. */
  readonly keeper: string;
  /** Index of the command that changed the record last. */
  readonly changedAt: number;
}
