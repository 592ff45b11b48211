// Applied to the risk for each good answer to a request that was sent after the last suspicion. One
// answer in seven of a faulty upstream is good, so a single good answer proves little; bench/faults
// compares other values.
const goodAnswerFactor = 0.55;

/** Options of a decaying risk. */
export interface DecayingRiskOptions {
  /** Time after the last suspicion until the risk is 0, in milliseconds. */
  readonly decayMs: number;
  /** Upper bound of the risk. */
  readonly maxRisk: number;
}

/** Risk that requests to an upstream fail: suspicions raise it, good answers and time lower it. */
export default class DecayingRisk {
  private readonly options: DecayingRiskOptions;

  private risk = 0;

  private expiresAt = -Infinity;

  constructor(options: DecayingRiskOptions) {
    this.options = options;
  }

  /** Adds a suspicion that raises the risk by `weight`. */
  addSuspicion(weight: number, now: number): void {
    const { decayMs, maxRisk } = this.options;
    this.risk = Math.min(maxRisk, this.computeRisk(now) + weight);
    this.expiresAt = now + decayMs;
  }

  recordSuccess(): void {
    this.risk *= goodAnswerFactor;
  }

  /** Risk from 0 to 1 that the next request fails; it decays linearly after the last suspicion. */
  computeRisk(now: number): number {
    return Math.max(0, Math.min(1, (this.expiresAt - now) / this.options.decayMs)) * this.risk;
  }
}
