import type Result from '../../domain/errors/Result.ts';
import { maxLeaseMs } from '../../domain/membership/Directory.ts';
import type UpstreamDirectory from '../../domain/membership/UpstreamDirectory.ts';
import type { UpstreamStateName } from '../../domain/membership/UpstreamRecord.ts';
import compareVersions from '../../domain/membership/compareVersions.ts';
import type Clock from '../../ports/Clock.ts';

/** What an upstream publishes about itself, with all fields checked. */
export interface Announcement {
  readonly service: string;
  readonly upstream: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: UpstreamStateName;
  /** Requested duration of the lease, from 1000 to 60000 milliseconds. */
  readonly leaseMs: number;
}

/** The answer to an accepted announcement. */
export interface AcceptedAnnouncement {
  readonly leaseDeadline: number;
}

/** Options of the service. */
export interface AnnouncementServiceOptions {
  readonly clock: Clock;
  readonly upstreams: UpstreamDirectory;
  /** Called after a change that must reach other hosts immediately. */
  readonly exchangeNow: () => void;
}

/** Records the announcements of upstreams in the directory. */
export default class AnnouncementService {
  private readonly options: AnnouncementServiceOptions;

  constructor(options: AnnouncementServiceOptions) {
    this.options = options;
  }

  /**
   * Accepts an announcement that is newer than the last one and otherwise fails with
   * `announcement_stale`. A repeat of the last announcement gets the same answer as before and does
   * not renew the lease.
   */
  acceptAnnouncement(announcement: Announcement): Result<AcceptedAnnouncement> {
    const { clock, upstreams, exchangeNow } = this.options;
    const { leaseMs, ...fields } = announcement;
    const now = clock.now();
    const key = `${fields.service}/${fields.upstream}`;
    const current = upstreams.getRecord(key);
    const isRepeat =
      current?.incarnation === fields.incarnation &&
      current.sequence === fields.sequence &&
      current.state === fields.state;
    if (isRepeat) return { ok: true, value: { leaseDeadline: current.leaseDeadline } };
    const stale = this.describeStale(announcement, upstreams.getLastVersion(key));
    if (stale !== undefined) {
      return { ok: false, failure: { kind: 'announcement_stale', message: stale } };
    }
    // A leaving record outlives every lease granted before it, so that a host that receives the
    // record late does not count the upstream as serving.
    const leaseDeadline = now + (fields.state === 'leaving' ? maxLeaseMs : leaseMs);
    const servingSince = fields.state === 'serving' ? now : 0;
    const outcome = upstreams.putRecord({ ...fields, servingSince, leaseDeadline }, now);
    if (outcome === 'urgent') exchangeNow();
    return { ok: true, value: { leaseDeadline } };
  }

  private describeStale(
    { incarnation, sequence, state, ...names }: Announcement,
    last: readonly number[] | undefined,
  ): string | undefined {
    if (!last) return undefined;
    const [lastIncarnation = 0, leaving = 0, lastSequence = 0] = last;
    const call = `announcement of ${names.service}/${names.upstream}`;
    if (incarnation === lastIncarnation && leaving === 1 && state !== 'leaving') {
      return `${call}: state "${state}" after leaving: expected an incarnation above ${lastIncarnation}`;
    }
    if (compareVersions([incarnation, sequence], [lastIncarnation, lastSequence]) > 0) {
      return undefined;
    }
    return `${call}: incarnation ${incarnation} sequence ${sequence}: expected more than incarnation ${lastIncarnation} sequence ${lastSequence}`;
  }
}
