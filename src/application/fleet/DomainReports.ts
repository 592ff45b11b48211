import pruneMap from '../../domain/collections/pruneMap.ts';
import type { RetryBalance } from '../../domain/requests/RetryAccount.ts';
import estimateLoad from '../../domain/requests/estimateLoad.ts';

// Far longer than a report is meaningful.
const retentionMs = 30_000;
// What the others assume of a load that was reported a while ago halves in this time.
const halfLifeMs = 800;
// What is left changes with each request; a smaller change hardly matters to hosts that borrow.
const minLeftChange = 0.5;

/** A load that an upstream reported. */
export interface ReportedLoad {
  readonly load: number;
  /** Instant at which this host received the report. */
  readonly at: number;
}

/** What the hosts of a failure domain last told each other about each upstream. */
export default class DomainReports {
  /** Latest load that each upstream reported to any host of the domain. */
  private readonly loads = new Map<string, ReportedLoad>();

  /** Instant of the last report of a recovery, by upstream. */
  private readonly recoveredAt = new Map<string, number>();

  /** Open requests of this host that the others count, by upstream. */
  private readonly ownOpen = new Map<string, number>();

  /** Retries of this host that the others count, by service. */
  private readonly ownRetries = new Map<string, RetryBalance>();

  /** Latest load that an upstream reported to this or another host. */
  readLoad(upstream: string): ReportedLoad | undefined {
    return this.loads.get(upstream);
  }

  setLoad(upstream: string, load: number, now: number): void {
    this.loads.set(upstream, { load, at: now });
  }

  /** Estimates the load of an upstream from the last report. */
  estimateLoad(upstream: string, now: number): number {
    const known = this.loads.get(upstream);
    if (!known) return 0;
    return estimateLoad(
      { inFlight: 0, reportedLoad: known.load, reportedAt: known.at },
      now,
      halfLifeMs,
    );
  }

  /** Instant of the last report of a recovery; -Infinity without one. */
  getRecoveredAt(upstream: string): number {
    return this.recoveredAt.get(upstream) ?? -Infinity;
  }

  setRecovered(upstream: string, now: number): void {
    this.recoveredAt.set(upstream, now);
  }

  /** Open requests of this host at an upstream that the others count. */
  readOwnOpen(upstream: string): number {
    return this.ownOpen.get(upstream) ?? 0;
  }

  /** Records the open requests of this host at an upstream that are about to be reported. */
  setOwnOpen(upstream: string, count: number): void {
    if (count > 0) this.ownOpen.set(upstream, count);
    else this.ownOpen.delete(upstream);
  }

  /** Retries of this host that the others count; undefined if none are stated yet. */
  readOwnRetries(service: string): RetryBalance | undefined {
    return this.ownRetries.get(service);
  }

  /** Whether the retries of this host differ from what the others count so much that it matters. */
  hasChangedRetries(service: string, { used, left }: RetryBalance): boolean {
    const reported = this.ownRetries.get(service);
    if (!reported) return true;
    return used !== reported.used || Math.abs(left - reported.left) >= minLeftChange;
  }

  /** Records the retries of this host that are about to be reported. */
  setOwnRetries(service: string, balance: RetryBalance): void {
    this.ownRetries.set(service, balance);
  }

  /** Forgets the retries of this host, which are reported again. */
  resetOwnRetries(): void {
    this.ownRetries.clear();
  }

  /** Removes old reports. */
  pruneOld(now: number): void {
    pruneMap(this.loads, ({ at }) => at + retentionMs <= now);
    pruneMap(this.recoveredAt, (at) => at + retentionMs <= now);
  }
}
