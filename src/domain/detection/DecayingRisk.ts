// Applied to the risk for each good answer to a request that was sent after the last suspicion. A
// faulty upstream gives one good answer in seven, so a single one proves little; bench/faults
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

  private endsAt = -Infinity;

  constructor(options: DecayingRiskOptions) {
    this.options = options;
  }

  /** Adds a suspicion that raises the risk by `weight`. */
  addSuspicion(weight: number, now: number): void {
    const { decayMs, maxRisk } = this.options;
    this.risk = Math.min(maxRisk, this.computeRisk(now) + weight);
    this.endsAt = now + decayMs;
  }

  recordSuccess(): void {
    this.risk *= goodAnswerFactor;
  }

  /** Risk from 0 to 1 that the next request fails; it decays linearly after the last suspicion. */
  computeRisk(now: number): number {
    return Math.max(0, Math.min(1, (this.endsAt - now) / this.options.decayMs)) * this.risk;
  }
}
