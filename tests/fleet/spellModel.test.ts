import { describe, expect, it } from 'vitest';

import patterns from '../../bench/spells/patterns.ts';
import playPattern from '../../bench/spells/playPattern.ts';
import policies from '../../bench/spells/policies.ts';
import type { SpellOutcome } from '../../bench/spells/SpellModel.ts';

const play = { firstSeed: 1, seeds: 6, durationMs: 40_000 };

function computeUnserved({ requests, lost, refused }: SpellOutcome): number {
  return (lost + refused) / requests;
}

describe('upstreams in spells of resets', () => {
  it('should play the same with the same seed', () => {
    const [pattern] = patterns;
    if (!pattern) throw new Error('no pattern');
    const options = { ...play, seeds: 1, pattern, create: policies.prices };

    expect(playPattern(options)).toEqual(playPattern(options));
  });

  // Guards against prices that help one pattern and lose another to a choice that knows nothing.
  it.each(patterns)('should leave half as many requests unserved as random: $name', (pattern) => {
    const priced = playPattern({ ...play, pattern, create: policies.prices });
    const random = playPattern({ ...play, pattern, create: policies.random });

    expect(computeUnserved(priced)).toBeLessThan(computeUnserved(random) / 2);
    expect(priced.crossedBytes).toBeLessThan(random.crossedBytes / 2);
  });
});
