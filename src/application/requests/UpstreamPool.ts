import type UpstreamRecord from '../../domain/membership/UpstreamRecord.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';

/** The upstreams that may receive requests now. */
export default interface UpstreamPool {
  /**
   * Lists the upstreams of a service that are serving, not leaving, not ejected, and have a valid
   * lease; empty for an unknown service.
   */
  listUsable(service: string): readonly UsableUpstream[];
  /** Whether an upstream that was chosen from the list may still receive requests. */
  isUsable(record: UpstreamRecord): boolean;
}
