/** Life of an upstream; `leaving` is final for an incarnation. */
export type UpstreamStateName = 'starting' | 'serving' | 'leaving';

/** What an upstream last announced about itself. Newer is the higher (incarnation, sequence). */
export default interface UpstreamRecord {
  readonly service: string;
  readonly upstream: string;
  /** IP number and port, for example `127.0.0.1:9000`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: UpstreamStateName;
  /** Instant at which this incarnation first announced `serving`; 0 before that. */
  readonly servingSince: number;
  /** Instant after which the record no longer counts. */
  readonly leaseDeadline: number;
}
