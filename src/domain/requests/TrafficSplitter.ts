import type { SplitPart } from '../presets/Preset.ts';
import chooseSplit from './chooseSplit.ts';

// Steps of the golden ratio spread any number of successive draws evenly.
const stepSize = (Math.sqrt(5) - 1) / 2;

/** A source of random numbers from 0 up to, but not including, 1. */
export interface UniformSource {
  next(): number;
}

/**
 * Chooses the services of requests by the weights of traffic splits. The first draw of each split
 * is random, so that hosts that start together differ; the next ones are spread evenly, so that the
 * shares of each host stay close to the weights over any span of requests.
 */
export default class TrafficSplitter {
  private readonly random: UniformSource;

  /** Last draw of each split. A preset that changes has new splits. */
  private readonly draws = new WeakMap<readonly SplitPart[], number>();

  constructor(random: UniformSource) {
    this.random = random;
  }

  /** Chooses the service of a request; undefined when no part has a weight above 0. */
  chooseService(split: readonly SplitPart[]): string | undefined {
    const last = this.draws.get(split);
    const draw = last === undefined ? this.random.next() : (last + stepSize) % 1;
    this.draws.set(split, draw);
    return chooseSplit(split, draw);
  }
}
