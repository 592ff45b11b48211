import { maxClockSkewMs } from './leaseTimes.ts';

/**
 * The last deadline that a coordinator issued for each upstream, also for upstreams that it no
 * longer ejects: until that deadline, some host may still apply the ejection.
 */
export default class IssuedDeadlines {
  private readonly deadlines = new Map<string, number>();

  recordDeadline(upstream: string, deadline: number): void {
    this.deadlines.set(upstream, Math.max(deadline, this.deadlines.get(upstream) ?? 0));
  }

  /** Whether some host, whose clock may be behind, may still apply an ejection of the upstream. */
  mayBeApplied(upstream: string, now: number): boolean {
    const deadline = this.deadlines.get(upstream);
    return deadline !== undefined && deadline + maxClockSkewMs > now;
  }

  dropExpired(now: number): void {
    this.deadlines.forEach((_deadline, upstream) => {
      if (!this.mayBeApplied(upstream, now)) this.deadlines.delete(upstream);
    });
  }
}
