import type { Suspicion } from '../../domain/detection/SuspicionTracker.ts';
import type { UpstreamActivity } from '../../domain/fleet/DomainMessage.ts';
import type UpstreamIncarnation from '../../domain/statements/UpstreamIncarnation.ts';
import type { StatedLimit } from '../../domain/statements/UpstreamLimits.ts';

/** What an entry host has not reported to the other hosts of its failure domain yet. */
export default class UnsentChanges {
  /** Upstreams whose open requests changed. */
  private readonly inFlight = new Set<string>();

  private readonly loads = new Map<string, number>();

  private readonly recoveries = new Set<string>();

  /** Requests to upstreams with a limit, by upstream. */
  private readonly limitedRequests = new Map<string, number>();

  private readonly limits = new Map<string, StatedLimit>();

  /** Incarnations that are leaving, by upstream. */
  private readonly leaving = new Map<string, number>();

  private suspicions: readonly Suspicion[] = [];

  /** Adds an upstream whose open requests changed. */
  addInFlight(upstream: string): void {
    this.inFlight.add(upstream);
  }

  addLoad(upstream: string, load: number): void {
    this.loads.set(upstream, load);
  }

  addRecovery(upstream: string): void {
    this.recoveries.add(upstream);
  }

  /** Adds a request to an upstream with a limit. */
  addLimitedRequest(upstream: string): void {
    this.limitedRequests.set(upstream, (this.limitedRequests.get(upstream) ?? 0) + 1);
  }

  addLimit(limit: StatedLimit): void {
    this.limits.set(limit.upstream, limit);
  }

  addLeaving({ upstream, incarnation }: UpstreamIncarnation): void {
    this.leaving.set(upstream, incarnation);
  }

  /** Adds a suspicion, unless the same one is waiting already. */
  addSuspicion(suspicion: Suspicion): void {
    const { upstream, incarnation, kind } = suspicion;
    const isWaiting = this.suspicions.some(
      (other) =>
        other.upstream === upstream && other.incarnation === incarnation && other.kind === kind,
    );
    if (!isWaiting) this.suspicions = [...this.suspicions, suspicion];
  }

  /** Whether any upstream has a change; suspicions do not count. */
  get hasUpstreams(): boolean {
    return this.listUpstreams().size > 0;
  }

  /** Removes and returns the changes of up to `count` upstreams, urgent ones first. */
  takeUpstreams(
    count: number,
    readInFlight: (upstream: string) => number,
  ): readonly UpstreamActivity[] {
    return [...this.listUpstreams()]
      .slice(0, count)
      .map((upstream) => this.takeUpstream(upstream, readInFlight(upstream)));
  }

  /**
   * Removes and returns the changes of the upstreams that are leaving, that changed a limit or that
   * have requests under a limit.
   */
  takeUrgent(readInFlight: (upstream: string) => number): readonly UpstreamActivity[] {
    return [...new Set(this.listUrgent())].map((upstream) =>
      this.takeUpstream(upstream, readInFlight(upstream)),
    );
  }

  /** Removes and returns the suspicions. */
  takeSuspicions(): readonly Suspicion[] {
    const { suspicions } = this;
    this.suspicions = [];
    return suspicions;
  }

  private takeUpstream(upstream: string, inFlight: number): UpstreamActivity {
    const activity = {
      upstream,
      inFlight,
      reportedLoad: this.loads.get(upstream),
      hasRecovered: this.recoveries.has(upstream),
      limitedRequests: this.limitedRequests.get(upstream) ?? 0,
      limit: this.limits.get(upstream),
      leavingIncarnation: this.leaving.get(upstream),
    };
    const { inFlight: changed, loads, recoveries, limitedRequests, limits, leaving } = this;
    [changed, loads, recoveries, limitedRequests, limits, leaving].forEach((changes) =>
      changes.delete(upstream),
    );
    return activity;
  }

  private listUpstreams(): ReadonlySet<string> {
    return new Set([
      ...this.listUrgent(),
      ...this.inFlight,
      ...this.loads.keys(),
      ...this.recoveries,
    ]);
  }

  private listUrgent(): readonly string[] {
    return [...this.leaving.keys(), ...this.limits.keys(), ...this.limitedRequests.keys()];
  }
}
