/**
 * Life of a registered upstream. `gone` remains as a tombstone of the run that left; one that is
 * `silent` comes back with its next announcement.
 */
export type RegisteredState = 'serving' | 'leaving' | 'silent' | 'gone';

/** What an upstream says about itself in one announcement. */
export interface Registration {
  readonly upstream: string;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: 'serving' | 'leaving';
  /** Start of this run, in milliseconds since the epoch by the upstream's clock; 0 when untold. */
  readonly bornAt: number;
  /** Rises with each announcement of a run. */
  readonly sequence: number;
  /** How long the upstream remains slow after its start, in milliseconds. */
  readonly warmMs: number;
}

/** An upstream as the control group keeps it. */
export default interface RegisteredUpstream extends Omit<Registration, 'state'> {
  readonly state: RegisteredState;
  /** Peers address of the control host that receives the announcements. */
  readonly keeper: string;
  /** Index of the command that changed the record last. */
  readonly changedAt: number;
}
