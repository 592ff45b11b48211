const stepMs = 100;

/** Requests that became known in the newest time. */
export default class RecentRequests {
  private readonly lengthMs: number;

  private steps: readonly { readonly at: number; readonly count: number }[] = [];

  constructor(lengthMs: number) {
    this.lengthMs = lengthMs;
  }

  addRequests(count: number, now: number): void {
    const last = this.steps.at(-1);
    if (last && now < last.at + stepMs) {
      this.steps = [...this.steps.slice(0, -1), { at: last.at, count: last.count + count }];
      return;
    }
    this.steps = [...this.steps.filter(({ at }) => at > now - this.lengthMs), { at: now, count }];
  }

  count(now: number): number {
    return this.steps
      .filter(({ at }) => at > now - this.lengthMs - stepMs)
      .reduce((sum, { count }) => sum + count, 0);
  }
}
