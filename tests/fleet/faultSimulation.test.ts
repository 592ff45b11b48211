import { describe, expect, it } from 'vitest';

import patterns, { largeDomains, largeFleet } from '../../bench/faults/patterns.ts';
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

  // On the grown Urithi fleet, all hosts of a failure domain compared the same upstreams by loads
  // that were 0.1 s old, and filled the queues of a few while others were idle. With 55 hosts a
  // domain, what they know of each other is 0.4 to 0.8 s old. Guards against choices that are good
  // only with fresh knowledge.
  it.each([
    { ...largeDomains, exchangeDelayMs: 150 },
    { ...largeFleet, requestsPerSecond: 800, exchangeDelayMs: 800 },
  ])(
    'should serve nearly as many requests in time with late knowledge of other hosts as with fresh: $name',
    (pattern) => {
      const options = { firstSeed: 1, seeds: 2, durationMs: 12_000 };
      const [late, fresh] = [pattern.exchangeDelayMs, 20].map((exchangeDelayMs) => {
        const { inTime, requests } = runPattern({
          ...options,
          pattern: { ...pattern, exchangeDelayMs },
          createPolicy: policies.lowestCost,
        });
        return inTime / requests;
      });

      expect(late).toBeGreaterThan(0.97 * (fresh ?? 1));
    },
  );

  // Of many upstreams, a random sample sends requests to all of them, and each fault costs one.
  // Guards against trying upstreams of which nothing is known while others give good answers.
  it('should keep requests from faults of upstreams that it does not need', () => {
    const { requests, resets } = runPattern({
      ...{ firstSeed: 1, seeds: 2, durationMs: 20_000 },
      pattern: largeFleet,
      createPolicy: policies.lowestCost,
    });

    // 0.3 of 158 upstreams turn bad in 9 s, which is one in a hundred requests at 509/s.
    expect(resets / requests).toBeLessThan(0.015);
  });
});
