import type UpstreamRecord from '../membership/UpstreamRecord.ts';

/** An upstream that may receive work now. */
export default interface UsableUpstream {
  readonly record: UpstreamRecord;
  /**
   * Share of a full traffic share it may receive, above 0 and at most 1; lower on probation and
   * while ramping up.
   */
  readonly weight: number;
}
