/** Role of a daemon. */
export type HostRole = 'entry' | 'control';

/** Life of a daemon as its peers see it. */
export type HostStateName = 'starting' | 'ready' | 'stopping';

/** What a host says about itself. Newer is the higher (incarnation, sequence). */
export default interface HostRecord {
  readonly host: string;
  readonly role: HostRole;
  /** Address of the peers listener. */
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: HostStateName;
  /** Preset revision in force on the host; 0 when it has none. */
  readonly revision: number;
  readonly presetName: string;
  readonly leaseDeadline: number;
}
