import type { UpstreamLoad } from '../../src/domain/requests/Balancer.ts';
import type EventQueue from '../EventQueue.ts';

interface Report {
  readonly load: number;
  readonly at: number;
}

/**
 * Open requests and reported loads as the entry hosts of one failure domain know them: each host
 * knows its own immediately and those of the others after a delay.
 */
export default class DomainLoads {
  private readonly events: EventQueue;

  private readonly delayMs: number;

  /** Open requests of all hosts that the other hosts already count, by upstream. */
  private readonly shared = new Map<string, number>();

  /** Changes that only the host itself counts yet, by host and upstream. */
  private readonly ownChanges = new Map<object, Map<string, number>>();

  private readonly reports = new Map<string, Report>();

  private readonly ownReports = new Map<object, Map<string, Report>>();

  constructor(options: { readonly events: EventQueue; readonly delayMs: number }) {
    this.events = options.events;
    this.delayMs = options.delayMs;
  }

  /** Load of an upstream as known to a host. */
  readLoad(host: object, upstream: string): UpstreamLoad {
    const shared = this.reports.get(upstream);
    const own = this.ownReports.get(host)?.get(upstream);
    const newest = (own?.at ?? -1) > (shared?.at ?? -1) ? own : shared;
    const unshared = this.ownChanges.get(host)?.get(upstream) ?? 0;
    return {
      inFlight: (this.shared.get(upstream) ?? 0) + unshared,
      reportedLoad: newest?.load ?? 0,
      reportedAt: newest?.at ?? 0,
    };
  }

  /** Adds to the open requests of a host. */
  addInFlight(host: object, upstream: string, change: number): void {
    this.addOwn(host, upstream, change);
    this.events.addEvent(this.events.now + this.delayMs, () => {
      this.addOwn(host, upstream, -change);
      this.shared.set(upstream, (this.shared.get(upstream) ?? 0) + change);
    });
  }

  /** Records a load that an upstream reported to a host. */
  recordReport(host: object, upstream: string, load: number): void {
    const report = { load, at: this.events.now };
    const own = this.ownReports.get(host) ?? new Map<string, Report>();
    own.set(upstream, report);
    this.ownReports.set(host, own);
    this.events.addEvent(this.events.now + this.delayMs, () => {
      if ((this.reports.get(upstream)?.at ?? -1) < report.at) this.reports.set(upstream, report);
    });
  }

  private addOwn(host: object, upstream: string, change: number): void {
    const own = this.ownChanges.get(host) ?? new Map<string, number>();
    own.set(upstream, (own.get(upstream) ?? 0) + change);
    this.ownChanges.set(host, own);
  }
}
