/** Exponentially decayed counts of bad answers among all answers. */
export default class DecayingFailureRate {
  bad = 0;

  total = 0;

  addCounts(bad: number, total: number): void {
    this.bad += bad;
    this.total += total;
  }

  /** Multiplies the counts by the factor. */
  decayCounts(factor: number): void {
    this.bad *= factor;
    this.total *= factor;
  }

  /** Share of bad answers; one added good answer smooths the share when there is little traffic. */
  get share(): number {
    return this.bad / (this.total + 1);
  }
}
