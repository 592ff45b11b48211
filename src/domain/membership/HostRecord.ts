/** Role of a daemon. */
export type HostRole = 'entry' | 'control';

/** Lifecycle state of a daemon as its peers see it. */
export type HostStateName = 'starting' | 'ready' | 'stopping';

/**
 * What a host publishes about itself. The record with the higher (incarnation, sequence) is newer.
 */
export default interface HostRecord {
  readonly host: string;
  readonly role: HostRole;
  /** Address of the peers listener. */
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: HostStateName;
  /** Preset revision that is active on the host; 0 when it has none. */
  readonly revision: number;
  readonly presetName: string;
  readonly leaseDeadline: number;
}
