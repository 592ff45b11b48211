/** An amount of evidence from one reporter, and the caps that apply to it. */
export interface ScoreAddition {
  readonly reporter: string;
  readonly failureDomain: string;
  readonly amount: number;
  readonly reporterCap: number;
  readonly domainCap: number;
}

/**
 * A cumulative sum of log-likelihood ratios (CUSUM, Page 1954) that never falls below 0 and tracks
 * the contribution of each reporter and failure domain.
 */
export default class EvidenceScore {
  private sum = 0;

  // Contributions are stored divided by this scale, so that a decay changes only one number.
  private scale = 1;

  private readonly byReporter = new Map<string, number>();

  private readonly byDomain = new Map<string, number>();

  get value(): number {
    return this.sum;
  }

  /** Adds evidence of a fault as far as the caps of its reporter and failure domain allow. */
  addEvidence(addition: ScoreAddition): void {
    const { reporter, failureDomain, amount, reporterCap, domainCap } = addition;
    const reporterPart = (this.byReporter.get(reporter) ?? 0) * this.scale;
    const domainPart = (this.byDomain.get(failureDomain) ?? 0) * this.scale;
    const allowed = Math.max(
      0,
      Math.min(amount, reporterCap - reporterPart, domainCap - domainPart),
    );
    this.sum += allowed;
    this.byReporter.set(reporter, (reporterPart + allowed) / this.scale);
    this.byDomain.set(failureDomain, (domainPart + allowed) / this.scale);
  }

  /** Subtracts evidence of health, from all contributions in proportion. */
  dropAmount(amount: number): void {
    if (this.sum > 0) this.decayScore(Math.max(0, this.sum - amount) / this.sum);
  }

  /** Multiplies the score and all contributions by the factor. */
  decayScore(factor: number): void {
    if (this.sum === 0) return;
    this.sum *= factor;
    this.scale *= factor;
    // A score below 1e-3 is noise; resetting it bounds the number of stored contributions.
    if (this.sum < 1e-3) this.reset();
    // Prevents an underflow of the scale when a score stays above 0 for long.
    else if (this.scale < 1e-9) this.applyScale();
  }

  private applyScale(): void {
    [this.byReporter, this.byDomain].forEach((parts) => {
      parts.forEach((part, name) => parts.set(name, part * this.scale));
    });
    this.scale = 1;
  }

  reset(): void {
    this.sum = 0;
    this.scale = 1;
    this.byReporter.clear();
    this.byDomain.clear();
  }
}
