interface Cell {
  bad: number;
  total: number;
}

// Long enough for a host to see several answers, short enough to notice a broken link soon.
const halfLifeMs = 3000;
// From this share of bad answers among the other reporters an upstream is not known to be good.
const badShare = 0.2;
// Counts are kept multiplied by a growing factor instead of being aged one by one; before the
// factor grows out of range, all are divided by it.
const mostGrowth = 2 ** 40;
// Imagined good answers, so that the first bad answer of a reporter discounts it little.
const priorAnswers = 2;

/** What each reporter, or each failure domain, found at each upstream in the last seconds. */
export default class ReporterHistory {
  private readonly cells = new Map<string, Map<string, Cell>>();

  private readonly sums = new Map<string, Cell>();

  private readonly seenAt = new Map<string, number>();

  private growth = 1;

  private grownAt = 0;

  /** Ages all counts up to the instant. */
  dropOld(now: number): void {
    this.growth *= 2 ** (Math.min(10 * halfLifeMs, Math.max(0, now - this.grownAt)) / halfLifeMs);
    this.grownAt = Math.max(this.grownAt, now);
    if (this.growth < mostGrowth) return;
    [this.sums, ...this.cells.values()].forEach((cells) =>
      cells.forEach((cell) => {
        cell.bad /= this.growth;
        cell.total /= this.growth;
      }),
    );
    this.growth = 1;
  }

  recordAnswers(entry: {
    readonly reporter: string;
    readonly upstream: string;
    readonly bad: number;
    readonly total: number;
    readonly now: number;
  }): void {
    const { reporter, upstream, bad, total, now } = entry;
    this.seenAt.set(reporter, now);
    const row = this.cells.get(reporter) ?? new Map<string, Cell>();
    if (row.size === 0) this.cells.set(reporter, row);
    this.addCounts(row, upstream, bad, total);
    this.addCounts(this.sums, upstream, bad, total);
  }

  /** Number of reporters that had traffic since the instant. */
  countReporters(since: number): number {
    return [...this.seenAt.values()].filter((at) => at >= since).length;
  }

  /**
   * Share of bad answers that a reporter sees at other upstreams that other reporters find good.
   * It is high when the reporter or its links are at fault.
   */
  computeOwnFaultShare(reporter: string, upstream: string): number {
    let bad = 0;
    let total = priorAnswers * this.growth;
    this.cells.get(reporter)?.forEach((cell, name) => {
      const sum = this.sums.get(name);
      if (name === upstream || !sum) return;
      const others = (sum.bad - cell.bad) / (sum.total - cell.total + this.growth);
      if (others >= badShare) return;
      bad += cell.bad;
      total += cell.total;
    });
    return bad / total;
  }

  /** Forgets reporters that had no traffic since the instant. */
  dropIdle(since: number): void {
    this.seenAt.forEach((at, reporter) => {
      if (at >= since) return;
      this.seenAt.delete(reporter);
      this.cells.delete(reporter);
    });
  }

  private addCounts(cells: Map<string, Cell>, upstream: string, bad: number, total: number): void {
    const cell = cells.get(upstream);
    if (!cell) {
      cells.set(upstream, { bad: bad * this.growth, total: total * this.growth });
      return;
    }
    cell.bad += bad * this.growth;
    cell.total += total * this.growth;
  }
}
