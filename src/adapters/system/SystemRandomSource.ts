import { randomBytes } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { v4, v7 } from 'uuid';

import type RandomSource from '../../ports/RandomSource.ts';

/**
 * Random numbers from a generator seeded by the operating system; ids from the operating system's
 * random source.
 */
export default class SystemRandomSource implements RandomSource {
  private readonly generator = xoroshiro128plus(randomBytes(4).readInt32LE(0));

  next(): number {
    return uniformFloat64(this.generator);
  }

  createId(): string {
    return v4();
  }

  createKey(now: number): string {
    return v7({ msecs: Math.floor(now) });
  }
}
