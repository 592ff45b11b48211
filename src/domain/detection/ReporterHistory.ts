import type { TestName } from './detectionSettings.ts';

// Counts of all upstreams, four for each: bad and total of `failed`, bad and total of `slow`. Flat
// arrays keep the counts of many reporters close together in memory.
type CountRow = number[];

interface ReporterRow {
  seenAt: number;
  readonly counts: CountRow;
}

/** Answers of one upstream as counted by one reporter. */
export interface AnswerCounts {
  readonly upstream: string;
  readonly failed: number;
  readonly slow: number;
  /** Good answers, slow or not. */
  readonly good: number;
  readonly overdue: number;
}

// Long enough for a host to receive several answers, short enough to notice a broken link soon.
const halfLifeMs = 3000;
// An upstream at which the other reporters count at least this share of bad answers is not used to
// detect faults of a reporter.
const badShare = 0.2;
// Forward decay: new counts are multiplied by a growing factor, instead of decaying each stored
// count in each round. All counts are divided by the factor before it grows out of range.
const maxGrowth = 2 ** 40;
// Good answers that are assumed for each reporter, so that its first bad answer hardly reduces the
// weight of its evidence.
const priorAnswers = 2;

const countsPerUpstream = 4;
const testOffsets: Readonly<Record<TestName, number>> = { failed: 0, slow: 2 };

function addCount(row: CountRow, position: number, amount: number): void {
  row[position] = (row[position] ?? 0) + amount;
}

/** Recent bad and total answers, by reporter (or by its failure domain) and by upstream. */
export default class ReporterHistory {
  private readonly rows = new Map<string, ReporterRow>();

  /** Position of the first count of each upstream in all rows. */
  private readonly positions = new Map<string, number>();

  /** Positions of upstreams that were dropped. */
  private readonly freePositions: number[] = [];

  private readonly sums: CountRow = [];

  private growth = 1;

  private growthUpdatedAt = 0;

  /** Decays all counts up to the instant. */
  decayCounts(now: number): void {
    this.growth *=
      2 ** (Math.min(10 * halfLifeMs, Math.max(0, now - this.growthUpdatedAt)) / halfLifeMs);
    this.growthUpdatedAt = Math.max(this.growthUpdatedAt, now);
    if (this.growth < maxGrowth) return;
    this.applyGrowth(this.sums);
    this.rows.forEach(({ counts }) => this.applyGrowth(counts));
    this.growth = 1;
  }

  /** Adds answers to both tests in one call: the look-up costs more than the additions. */
  recordAnswers(reporter: string, answers: AnswerCounts, now: number): void {
    const position = this.getPosition(answers.upstream);
    this.addAnswers(this.getRow(reporter, position, now), position, answers);
    this.addAnswers(this.sums, position, answers);
  }

  /** Number of upstreams for which memory is allocated. */
  get size(): number {
    return this.positions.size + this.freePositions.length;
  }

  /** Number of reporters that had traffic since the instant. */
  countReporters(since: number): number {
    return [...this.rows.values()].filter(({ seenAt }) => seenAt >= since).length;
  }

  /**
   * Share of bad answers that a reporter counts at those other upstreams that the other reporters
   * find good. The share is high when the reporter or its links are at fault.
   */
  computeReporterFaultShare(test: TestName, reporter: string, upstream: string): number {
    let bad = 0;
    let total = priorAnswers * this.growth;
    const counts = this.rows.get(reporter)?.counts ?? [];
    this.positions.forEach((position, name) => {
      if (name === upstream) return;
      const index = position + testOffsets[test];
      const { [index]: ownBad = 0, [index + 1]: ownTotal = 0 } = counts;
      const { [index]: sumBad = 0, [index + 1]: sumTotal = 0 } = this.sums;
      const others = (sumBad - ownBad) / (sumTotal - ownTotal + this.growth);
      if (others >= badShare) return;
      bad += ownBad;
      total += ownTotal;
    });
    return bad / total;
  }

  /** Removes reporters without traffic since the instant. */
  dropIdle(since: number): void {
    this.rows.forEach(({ seenAt }, reporter) => {
      if (seenAt < since) this.rows.delete(reporter);
    });
  }

  /** Removes an upstream and frees its position for another one. */
  dropUpstream(upstream: string): void {
    const position = this.positions.get(upstream);
    if (position === undefined) return;
    this.positions.delete(upstream);
    this.freePositions.push(position);
    [this.sums, ...[...this.rows.values()].map(({ counts }) => counts)]
      .filter(({ length }) => length > position)
      .forEach((counts) => counts.fill(0, position, position + countsPerUpstream));
  }

  private applyGrowth(row: CountRow): void {
    row.forEach((count, position) => {
      row[position] = count / this.growth;
    });
  }

  private addAnswers(row: CountRow, position: number, answers: AnswerCounts): void {
    const { failed, slow, good, overdue } = answers;
    addCount(row, position, failed * this.growth);
    addCount(row, position + 1, (failed + good) * this.growth);
    addCount(row, position + 2, slow * this.growth);
    addCount(row, position + 3, (overdue + good) * this.growth);
  }

  private getPosition(upstream: string): number {
    const known = this.positions.get(upstream);
    if (known !== undefined) return known;
    const position = this.freePositions.pop() ?? this.positions.size * countsPerUpstream;
    this.positions.set(upstream, position);
    return position;
  }

  private getRow(reporter: string, position: number, now: number): CountRow {
    const row = this.rows.get(reporter) ?? this.createRow(reporter);
    row.seenAt = now;
    // Fills up to the position with zeros, so that V8 keeps the array packed.
    const missing = position + countsPerUpstream - row.counts.length;
    if (missing > 0) row.counts.push(...Array.from({ length: missing }, () => 0));
    return row.counts;
  }

  private createRow(reporter: string): ReporterRow {
    const row = { seenAt: 0, counts: [] };
    this.rows.set(reporter, row);
    return row;
  }
}
