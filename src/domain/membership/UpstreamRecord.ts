/** Lifecycle state of an upstream; `leaving` is final for an incarnation. */
export type UpstreamStateName = 'starting' | 'serving' | 'leaving';

/**
 * What an upstream last announced about itself. The record with the higher (incarnation, sequence)
 * is newer.
 */
export default interface UpstreamRecord {
  readonly service: string;
  readonly upstream: string;
  /** IP address and port, for example `127.0.0.1:9000`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: UpstreamStateName;
  /** Instant at which this incarnation first announced `serving`; 0 before that. */
  readonly servingSince: number;
  /** Instant after which the record is no longer valid. */
  readonly leaseDeadline: number;
}
