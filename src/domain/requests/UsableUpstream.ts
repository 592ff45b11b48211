import type UpstreamRecord from '../membership/UpstreamRecord.ts';

/** An upstream that may receive requests now. */
export default interface UsableUpstream {
  readonly record: UpstreamRecord;
  /**
   * Traffic it may receive relative to an upstream with full traffic: above 0 and at most 1, lower
   * on probation and while it ramps up.
   */
  readonly weight: number;
}
