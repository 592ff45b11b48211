/** Exponentially decayed counts of bad answers among all answers. */
export default class DecayingFailureRate {
  bad = 0;

  total = 0;

  addCounts(bad: number, total: number): void {
    this.bad += bad;
    this.total += total;
  }

  /** Keeps the given share of the counts. */
  decayCounts(keep: number): void {
    this.bad *= keep;
    this.total *= keep;
  }

  /** Share of bad answers; one imagined good answer steadies windows with little traffic. */
  get share(): number {
    return this.bad / (this.total + 1);
  }
}
