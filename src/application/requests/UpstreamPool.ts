import type UpstreamRecord from '../../domain/membership/UpstreamRecord.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';

/** The upstreams that may receive work now. */
export default interface UpstreamPool {
  /** Serving, not leaving, not ejected, with a valid lease; empty for an unknown service. */
  listUsable(service: string): readonly UsableUpstream[];
  /** Whether an upstream that was chosen from the list may still receive work. */
  isUsable(record: UpstreamRecord): boolean;
}
