/** Evidence of one reporter and the limits that apply to it. */
export interface ScoreAddition {
  readonly reporter: string;
  readonly failureDomain: string;
  readonly amount: number;
  readonly reporterCap: number;
  readonly domainCap: number;
}

/**
 * A cumulative sum of log-likelihood ratios (CUSUM, Page 1954) that never falls below 0 and that
 * remembers how much of it came from each reporter and failure domain.
 */
export default class EvidenceScore {
  private sum = 0;

  // Parts are kept divided by this factor, so that a reduction changes one number.
  private factor = 1;

  private readonly byReporter = new Map<string, number>();

  private readonly byDomain = new Map<string, number>();

  get value(): number {
    return this.sum;
  }

  /** Adds evidence of a fault as far as the caps of its reporter and failure domain allow. */
  addEvidence(addition: ScoreAddition): void {
    const { reporter, failureDomain, amount, reporterCap, domainCap } = addition;
    const ofReporter = (this.byReporter.get(reporter) ?? 0) * this.factor;
    const ofDomain = (this.byDomain.get(failureDomain) ?? 0) * this.factor;
    const allowed = Math.max(0, Math.min(amount, reporterCap - ofReporter, domainCap - ofDomain));
    this.sum += allowed;
    this.byReporter.set(reporter, (ofReporter + allowed) / this.factor);
    this.byDomain.set(failureDomain, (ofDomain + allowed) / this.factor);
  }

  /** Takes evidence of health off all parts in proportion. */
  dropAmount(amount: number): void {
    if (this.sum > 0) this.decayScore(Math.max(0, this.sum - amount) / this.sum);
  }

  /** Keeps the given share of all parts. */
  decayScore(keep: number): void {
    if (this.sum === 0) return;
    this.sum *= keep;
    this.factor *= keep;
    // Below this the score is noise; clearing it bounds the number of parts.
    if (this.sum < 1e-3) this.reset();
    // Keeps the factor away from underflow when a score stays above 0 for long.
    else if (this.factor < 1e-9) this.applyFactor();
  }

  private applyFactor(): void {
    [this.byReporter, this.byDomain].forEach((parts) => {
      parts.forEach((part, name) => parts.set(name, part * this.factor));
    });
    this.factor = 1;
  }

  reset(): void {
    this.sum = 0;
    this.factor = 1;
    this.byReporter.clear();
    this.byDomain.clear();
  }
}
