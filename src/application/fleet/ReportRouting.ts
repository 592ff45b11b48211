import type Clock from '../../ports/Clock.ts';
import FullReports from './FullReports.ts';
import type ReportFilter from './ReportFilter.ts';
import SparseReports from './SparseReports.ts';

// With more hosts than this in a failure domain, they report to a hub.
const maxHostsWithoutHub = 16;
// With more hosts than this and without a hub, not every change is reported.
const maxFullyInformed = 30;
// A hub that has sent no digest for this long is not used.
const hubTimeoutMs = 1500;

/** Options of the routing. */
export interface ReportRoutingOptions {
  readonly clock: Clock;
  /** Number of entry hosts in the failure domain. */
  readonly countHosts: () => number;
  /** Address of the control host that may be the hub of the failure domain. */
  readonly findRelay: () => string | undefined;
}

/**
 * Decides to whom an entry host reports: to every other host of a small failure domain; in a large
 * one to a hub, as long as it sends digests.
 */
export default class ReportRouting {
  private readonly options: ReportRoutingOptions;

  // Other hosts may be about to choose the same upstream. The short delay puts the start and the
  // end of requests into one message. A host sends only about one request in half a second.
  private readonly fullReports = new FullReports({ busyBatchMs: 20, idleBatchMs: 400 });

  private readonly sparseReports = new SparseReports();

  // A digest is sent every 100 ms.
  private readonly hubReports = new FullReports({ busyBatchMs: 50, idleBatchMs: 100 });

  /** Control host that sent the last digest, and instant until which it is used as the hub. */
  private hub: { readonly address: string; readonly until: number } | undefined;

  constructor(options: ReportRoutingOptions) {
    this.options = options;
  }

  /** What to report, and how soon. */
  get filter(): ReportFilter {
    if (this.findHub() !== undefined) return this.hubReports;
    return this.options.countHosts() > maxFullyInformed ? this.sparseReports : this.fullReports;
  }

  /** The hub to report to; undefined while all other hosts have to be told. */
  findHub(): string | undefined {
    const { hub } = this;
    const isUsed =
      hub && hub.until > this.options.clock.now() && hub.address === this.findPossible();
    return isUsed ? hub.address : undefined;
  }

  /** A control host that may be the hub but sends no digests yet. */
  findUnusedHub(): string | undefined {
    return this.findHub() === undefined ? this.findPossible() : undefined;
  }

  /** Records a digest; returns false if its sender is not the hub of this host. */
  recordDigest(from: string): boolean {
    if (from !== this.findPossible()) return false;
    this.hub = { address: from, until: this.options.clock.now() + hubTimeoutMs };
    return true;
  }

  private findPossible(): string | undefined {
    const { countHosts, findRelay } = this.options;
    return countHosts() > maxHostsWithoutHub ? findRelay() : undefined;
  }
}
