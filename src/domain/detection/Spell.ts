// A good answer to a request that was sent after the last sign. Of the answers of an upstream in a
// spell one in seven is good, so that one says little; see bench/spells for other values.
const goodAnswerFactor = 0.55;

/** Options of a spell. */
export interface SpellOptions {
  readonly holdMs: number;
  /** The risk never grows beyond this. */
  readonly mostRisk: number;
}

/** A time in which requests fail, as it is known by signs and good answers. */
export default class Spell {
  private readonly options: SpellOptions;

  private risk = 0;

  private endsAt = -Infinity;

  constructor(options: SpellOptions) {
    this.options = options;
  }

  /** Adds a sign that makes a failure likelier by `weight`. */
  addSign(weight: number, now: number): void {
    const { holdMs, mostRisk } = this.options;
    this.risk = Math.min(mostRisk, this.computeRisk(now) + weight);
    this.endsAt = now + holdMs;
  }

  addGoodAnswer(): void {
    this.risk *= goodAnswerFactor;
  }

  /** Risk from 0 to 1 that the next request fails; it fades evenly after the last sign. */
  computeRisk(now: number): number {
    return Math.max(0, Math.min(1, (this.endsAt - now) / this.options.holdMs)) * this.risk;
  }
}
