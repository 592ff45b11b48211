import Directory from './Directory.ts';
import type { RecordRules } from './Directory.ts';
import type UpstreamRecord from './UpstreamRecord.ts';
import type UpstreamSource from './UpstreamSource.ts';

// A renewal waits for the next regular exchange, at most 500 ms, unless the lease expires in less
// than this time. Each host that receives the renewal decides again, so a host that receives it
// late passes it on immediately. With 2000 ms, renewing a lease of 3 s every second started
// exchanges with all peers on all hosts.
const urgentRenewalMs = 1000;

/** Returns the record when it is well-formed, undefined otherwise. */
export type UpstreamRecordChecker = (value: unknown) => UpstreamRecord | undefined;

class UpstreamRules implements RecordRules<UpstreamRecord> {
  readonly name = 'upstreams';

  readonly checkRecord: UpstreamRecordChecker;

  constructor(checkRecord: UpstreamRecordChecker) {
    this.checkRecord = checkRecord;
  }

  getKey({ service, upstream }: UpstreamRecord): string {
    return `${service}/${upstream}`;
  }

  getGroup({ service }: UpstreamRecord): string {
    return service;
  }

  // `leaving` precedes the sequence, so within an incarnation it wins over any other state, even
  // over one with a higher sequence that another host accepted at the same time.
  getVersion({ incarnation, state, sequence }: UpstreamRecord): readonly number[] {
    return [incarnation, state === 'leaving' ? 1 : 0, sequence];
  }

  mergeRecord(current: UpstreamRecord | undefined, next: UpstreamRecord): UpstreamRecord {
    const isSameRun = current?.incarnation === next.incarnation && current.servingSince > 0;
    if (!isSameRun) return next;
    const servingSince = Math.min(current.servingSince, next.servingSince || current.servingSince);
    return { ...next, servingSince };
  }

  isUrgent(current: UpstreamRecord, next: UpstreamRecord, now: number): boolean {
    return (
      current.incarnation !== next.incarnation ||
      current.state !== next.state ||
      current.address !== next.address ||
      current.slots !== next.slots ||
      current.leaseDeadline - now < urgentRenewalMs
    );
  }
}

/** The newest records that upstreams announced. */
export default class UpstreamDirectory extends Directory<UpstreamRecord> implements UpstreamSource {
  constructor(options: { readonly checkRecord: UpstreamRecordChecker }) {
    super(new UpstreamRules(options.checkRecord));
  }

  listUpstreams(service: string, now: number): readonly UpstreamRecord[] {
    return this.listGroup(service, now);
  }

  /** Upstreams of the service that are serving and have a valid lease, sorted by name. */
  listServing(service: string, now: number): readonly UpstreamRecord[] {
    return this.listGroup(service, now)
      .filter(({ state }) => state === 'serving')
      .sort((left, right) => (left.upstream < right.upstream ? -1 : 1));
  }
}
