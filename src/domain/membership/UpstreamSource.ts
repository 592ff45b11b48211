import type UpstreamRecord from './UpstreamRecord.ts';

/** The upstream records that this host has. */
export default interface UpstreamSource {
  /**
   * All records of a service whose lease has not expired, in any state. While the host is
   * partitioned from all its peers, records whose lease has expired meanwhile are listed too.
   */
  listUpstreams(service: string, now: number): readonly UpstreamRecord[];
}
