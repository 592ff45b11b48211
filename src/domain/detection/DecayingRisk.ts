// A good answer to a request that was sent after the last suspicion. Of the answers of a faulty
// upstream one in seven is good, so that one says little; see bench/faults for other values.
const goodAnswerFactor = 0.55;

/** Options of a decaying risk. */
export interface DecayingRiskOptions {
  readonly decayMs: number;
  /** The risk never grows beyond this. */
  readonly maxRisk: number;
}

/** A time in which requests fail, as it is known by suspicions and good answers. */
export default class DecayingRisk {
  private readonly options: DecayingRiskOptions;

  private risk = 0;

  private endsAt = -Infinity;

  constructor(options: DecayingRiskOptions) {
    this.options = options;
  }

  /** Adds a suspicion that makes a failure likelier by `weight`. */
  addSuspicion(weight: number, now: number): void {
    const { decayMs, maxRisk } = this.options;
    this.risk = Math.min(maxRisk, this.computeRisk(now) + weight);
    this.endsAt = now + decayMs;
  }

  recordSuccess(): void {
    this.risk *= goodAnswerFactor;
  }

  /** Risk from 0 to 1 that the next request fails; it fades evenly after the last suspicion. */
  computeRisk(now: number): number {
    return Math.max(0, Math.min(1, (this.endsAt - now) / this.options.decayMs)) * this.risk;
  }
}
