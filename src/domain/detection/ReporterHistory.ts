interface Cell {
  bad: number;
  total: number;
  at: number;
}

// Long enough for a host with little traffic to an upstream to see several of its answers.
const halfLifeMs = 10_000;
// From this share of bad answers among the other reporters an upstream is not known to be good.
const badShare = 0.2;
// Imagined good answers, so that the first bad answer of a reporter discounts it little.
const priorAnswers = 2;

/** What each reporter found at each upstream in the last seconds. */
export default class ReporterHistory {
  private readonly cells = new Map<string, Map<string, Cell>>();

  private readonly sums = new Map<string, Cell>();

  private readonly seenAt = new Map<string, number>();

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
    [row, this.sums].forEach((cells) => {
      const cell = cells.get(upstream) ?? { bad: 0, total: 0, at: now };
      this.updateCell(cell, now);
      cell.bad += bad;
      cell.total += total;
      cells.set(upstream, cell);
    });
  }

  /** Number of reporters that had traffic since the instant. */
  countReporters(since: number): number {
    return [...this.seenAt.values()].filter((at) => at >= since).length;
  }

  /**
   * Share of bad answers that a reporter sees at other upstreams that other reporters find good.
   * It is high when the reporter or its links are at fault.
   */
  computeOwnFaultShare(reporter: string, upstream: string, now: number): number {
    let bad = 0;
    let total = priorAnswers;
    this.cells.get(reporter)?.forEach((cell, name) => {
      const sum = this.sums.get(name);
      if (name === upstream || !sum) return;
      this.updateCell(cell, now);
      this.updateCell(sum, now);
      const others = (sum.bad - cell.bad) / (sum.total - cell.total + 1);
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

  private updateCell(cell: Cell, now: number): void {
    if (now <= cell.at) return;
    const keep = 0.5 ** ((now - cell.at) / halfLifeMs);
    cell.bad *= keep;
    cell.total *= keep;
    cell.at = now;
  }
}
