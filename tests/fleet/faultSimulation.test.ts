import { describe, expect, it } from 'vitest';

import patterns from '../../bench/faults/patterns.ts';
import runPattern from '../../bench/faults/runPattern.ts';
import policies from '../../bench/faults/policies.ts';
import type { FaultOutcome } from '../../bench/faults/FaultSimulation.ts';

const simulation = { firstSeed: 1, seeds: 6, durationMs: 40_000 };

function computeUnserved({ requests, lost, refused }: FaultOutcome): number {
  return (lost + refused) / requests;
}

describe('FaultSimulation', () => {
  it('should produce the same outcome for the same seed', () => {
    const [pattern] = patterns;
    if (!pattern) throw new Error('bench/faults/patterns.ts lists no pattern');
    const options = { ...simulation, seeds: 1, pattern, createPolicy: policies.lowestCost };

    expect(runPattern(options)).toEqual(runPattern(options));
  });

  // Guards against costs that suit one pattern of faults but are no better than random choice in
  // another.
  it.each(patterns)(
    'should have less than half the unserved requests and cross-domain bytes of random choice: $name',
    (pattern) => {
      const lowestCost = runPattern({ ...simulation, pattern, createPolicy: policies.lowestCost });
      const random = runPattern({ ...simulation, pattern, createPolicy: policies.random });

      expect(computeUnserved(lowestCost)).toBeLessThan(computeUnserved(random) / 2);
      expect(lowestCost.crossDomainBytes).toBeLessThan(random.crossDomainBytes / 2);
    },
  );
});
