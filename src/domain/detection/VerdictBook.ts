import type GossipTopic from '../membership/GossipTopic.ts';
import type { GossipDigest } from '../membership/GossipTopic.ts';
import type Verdict from './Verdict.ts';
import type { Ejection, Probation } from './Verdict.ts';

// A verdict without valid ejections stays this long as a hint for the next judge and so that an
// older copy of it does not come back.
const keepMs = 900_000;

/** What the book needs. */
export interface VerdictBookOptions {
  /** Checks the form of a record from another host; undefined for a malformed one. */
  readonly parseVerdict: (record: unknown) => Verdict | undefined;
}

interface Entry {
  readonly verdict: Verdict;
  readonly recordedAt: number;
}

function compareVersions(a: Verdict, b: Verdict): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence;
}

/** The newest verdict of each judge of each service, exchanged by gossip. */
export default class VerdictBook implements GossipTopic {
  readonly name = 'verdicts';

  private readonly options: VerdictBookOptions;

  private readonly services = new Map<string, Map<string, Entry>>();

  constructor(options: VerdictBookOptions) {
    this.options = options;
  }

  /** Records a verdict; returns whether it was newer than the one held. */
  recordVerdict(verdict: Verdict, now: number): boolean {
    const entries = this.services.get(verdict.service) ?? new Map<string, Entry>();
    const held = entries.get(verdict.judge);
    if (held && compareVersions(held.verdict, verdict) >= 0) return false;
    entries.set(verdict.judge, { verdict, recordedAt: now });
    this.services.set(verdict.service, entries);
    return true;
  }

  /** Ejections of a service whose leases are valid. */
  listEjections(service: string, now: number): readonly Ejection[] {
    return this.listVerdicts(service)
      .flatMap(({ ejections }) => ejections)
      .filter(({ deadline }) => deadline > now);
  }

  listProbations(service: string, now: number): readonly Probation[] {
    return this.listVerdicts(service)
      .flatMap(({ probations }) => probations)
      .filter(({ deadline }) => deadline > now);
  }

  /** The verdict that was recorded last, as a hint for the next judge. */
  findLatest(service: string): Verdict | undefined {
    return [...(this.services.get(service)?.values() ?? [])].sort(
      (a, b) => b.recordedAt - a.recordedAt,
    )[0]?.verdict;
  }

  listVersions(now: number, since = -Infinity): GossipDigest {
    this.dropOld(now);
    return Object.fromEntries(
      this.listChanged(since).map((verdict) => [
        `${verdict.service}/${verdict.judge}`,
        [verdict.incarnation, verdict.sequence],
      ]),
    );
  }

  listNewer(digest: GossipDigest, now: number, since = -Infinity): readonly unknown[] {
    this.dropOld(now);
    const changed = new Set(this.listChanged(since));
    return this.listChanged(-Infinity).filter((verdict) => {
      const [incarnation, sequence] = digest[`${verdict.service}/${verdict.judge}`] ?? [];
      if (incarnation === undefined || sequence === undefined) return changed.has(verdict);
      return compareVersions(verdict, { ...verdict, incarnation, sequence }) > 0;
    });
  }

  mergeRecords(records: readonly unknown[], now: number): boolean {
    const recorded = records
      .map((record) => this.options.parseVerdict(record))
      .map((verdict) => verdict !== undefined && this.recordVerdict(verdict, now));
    return recorded.some((isNewer) => isNewer);
  }

  /** The newest verdicts of all judges of a service. */
  listVerdicts(service: string): readonly Verdict[] {
    return [...(this.services.get(service)?.values() ?? [])].map(({ verdict }) => verdict);
  }

  private listChanged(since: number): readonly Verdict[] {
    return [...this.services.values()]
      .flatMap((entries) => [...entries.values()])
      .filter(({ recordedAt }) => recordedAt >= since)
      .map(({ verdict }) => verdict);
  }

  private dropOld(now: number): void {
    this.services.forEach((entries) =>
      entries.forEach(({ recordedAt }, judge) => {
        if (recordedAt + keepMs < now) entries.delete(judge);
      }),
    );
  }
}
