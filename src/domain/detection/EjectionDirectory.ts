import type GossipTopic from '../membership/GossipTopic.ts';
import type { GossipDigest } from '../membership/GossipTopic.ts';
import type EjectionRecord from './EjectionRecord.ts';
import type { Ejection, Probation } from './EjectionRecord.ts';

// An ejection record is kept this long after its last change, even without valid ejections: the
// next coordinator starts from it, and gossip must not bring back an older copy of it.
const retentionMs = 900_000;

/** Options of the directory. */
export interface EjectionDirectoryOptions {
  /** Validates a record from another host; returns undefined when it is malformed. */
  readonly checkRecord: (record: unknown) => EjectionRecord | undefined;
}

interface Entry {
  readonly record: EjectionRecord;
  readonly recordedAt: number;
}

function compareVersions(a: EjectionRecord, b: EjectionRecord): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence;
}

/** The newest ejection record of each coordinator of each service, exchanged by gossip. */
export default class EjectionDirectory implements GossipTopic {
  readonly name = 'verdicts';

  private readonly options: EjectionDirectoryOptions;

  private readonly services = new Map<string, Map<string, Entry>>();

  constructor(options: EjectionDirectoryOptions) {
    this.options = options;
  }

  /** Stores an ejection record if it is newer than the stored one; returns whether it was. */
  putRecord(record: EjectionRecord, now: number): boolean {
    const entries = this.services.get(record.service) ?? new Map<string, Entry>();
    const current = entries.get(record.judge);
    if (current && compareVersions(current.record, record) >= 0) return false;
    entries.set(record.judge, { record, recordedAt: now });
    this.services.set(record.service, entries);
    return true;
  }

  /** The service's ejections whose deadlines have not passed. */
  listEjections(service: string, now: number): readonly Ejection[] {
    return this.listRecords(service)
      .flatMap(({ ejections }) => ejections)
      .filter(({ deadline }) => deadline > now);
  }

  /** The service's probations whose deadlines have not passed. */
  listProbations(service: string, now: number): readonly Probation[] {
    return this.listRecords(service)
      .flatMap(({ probations }) => probations)
      .filter(({ deadline }) => deadline > now);
  }

  /** The ejection record that was stored last, from which the next coordinator starts. */
  findLatest(service: string): EjectionRecord | undefined {
    return [...(this.services.get(service)?.values() ?? [])].sort(
      (a, b) => b.recordedAt - a.recordedAt,
    )[0]?.record;
  }

  listVersions(now: number, since = -Infinity): GossipDigest {
    this.dropExpired(now);
    return Object.fromEntries(
      this.listChanged(since).map((record) => [
        `${record.service}/${record.judge}`,
        [record.incarnation, record.sequence],
      ]),
    );
  }

  listNewer(digest: GossipDigest, now: number, since = -Infinity): readonly unknown[] {
    this.dropExpired(now);
    const changed = new Set(this.listChanged(since));
    return this.listChanged(-Infinity).filter((record) => {
      const [incarnation, sequence] = digest[`${record.service}/${record.judge}`] ?? [];
      if (incarnation === undefined || sequence === undefined) return changed.has(record);
      return compareVersions(record, { ...record, incarnation, sequence }) > 0;
    });
  }

  mergeRecords(records: readonly unknown[], now: number): boolean {
    const recorded = records
      .map((record) => this.options.checkRecord(record))
      .map((record) => record !== undefined && this.putRecord(record, now));
    return recorded.some((isNewer) => isNewer);
  }

  /** The newest ejection record of each coordinator of a service. */
  listRecords(service: string): readonly EjectionRecord[] {
    return [...(this.services.get(service)?.values() ?? [])].map(({ record }) => record);
  }

  private listChanged(since: number): readonly EjectionRecord[] {
    return [...this.services.values()]
      .flatMap((entries) => [...entries.values()])
      .filter(({ recordedAt }) => recordedAt >= since)
      .map(({ record }) => record);
  }

  private dropExpired(now: number): void {
    this.services.forEach((entries) =>
      entries.forEach(({ recordedAt }, judge) => {
        if (recordedAt + retentionMs < now) entries.delete(judge);
      }),
    );
  }
}
