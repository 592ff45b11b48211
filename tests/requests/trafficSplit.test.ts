import { describe, expect, it } from 'vitest';

import type { SplitPart } from '../../src/domain/presets/Preset.ts';
import TrafficSplitter from '../../src/domain/requests/TrafficSplitter.ts';
import chooseSplit from '../../src/domain/requests/chooseSplit.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';

const spanRequests = 200;

function createSplit(...weights: readonly number[]): readonly SplitPart[] {
  return weights.map((weight, index) => ({ service: `s${index}`, weight }));
}

/** Largest difference between a part's share and its weight in any span of the choices. */
function findLargestError(choices: readonly string[], split: readonly SplitPart[]): number {
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  const errors = split.flatMap(({ service, weight }) => {
    const sums = choices.reduce(
      (known, each) => [...known, (known.at(-1) ?? 0) + (each === service ? 1 : 0)],
      [0],
    );
    return sums
      .slice(spanRequests)
      .map((sum, index) => Math.abs((sum - (sums[index] ?? 0)) / spanRequests - weight / total));
  });
  return Math.max(...errors);
}

/** Requests of a route that arrive at random hosts. */
function chooseAtHosts(split: readonly SplitPart[], hosts: number, seed: number): string[] {
  const random = new SeededRandom(seed);
  const splitters = Array.from({ length: hosts }, () => new TrafficSplitter(random));
  return Array.from({ length: 1000 }, () => {
    const splitter = splitters[Math.floor(random.next() * hosts)];
    return splitter?.chooseService(split) ?? '';
  });
}

describe('traffic split', () => {
  // Guards against shares that drift from the weights: random draws are off by up to 0.125 here.
  it.each([
    [createSplit(50, 50), 1, 0.015],
    [createSplit(90, 10), 1, 0.015],
    [createSplit(0, 1, 2, 3), 1, 0.015],
    [createSplit(50, 50), 12, 0.05],
    [createSplit(50, 50), 62, 0.07],
    [createSplit(90, 10), 62, 0.06],
  ])('should follow the weights in any 200 requests: %j at %i hosts', (split, hosts, bound) => {
    const seeds = Array.from({ length: 10 }, (_, index) => index + 1);
    const errors = seeds.map((seed) => findLargestError(chooseAtHosts(split, hosts, seed), split));

    expect(Math.max(...errors)).toBeLessThan(bound);
  });

  it('should follow weights that change, each from its first request on', () => {
    const splitter = new TrafficSplitter(new SeededRandom(7));
    const before = createSplit(90, 10);
    const after = createSplit(10, 90);
    Array.from({ length: 500 }, () => splitter.chooseService(before));
    const choices = Array.from({ length: 200 }, () => splitter.chooseService(after) ?? '');

    expect(findLargestError(choices, after)).toBeLessThan(0.015);
  });

  it('should choose no part of weight 0, and none where all are 0', () => {
    const splitter = new TrafficSplitter(new SeededRandom(3));
    const choices = chooseAtHosts(createSplit(0, 5, 0), 3, 3);

    expect(new Set(choices)).toEqual(new Set(['s1']));
    expect(splitter.chooseService(createSplit(0, 0))).toBeUndefined();
  });

  it('should choose a part whatever the weights add up to', () => {
    const split = createSplit(0.1, 0.2, 0.7);
    const largestDraw = 1 - Number.EPSILON / 2;

    expect(chooseSplit(split, largestDraw)).toBe('s2');
    expect(chooseSplit(createSplit(0.1, 0.7, 0.2, 0), largestDraw)).toBe('s2');
  });
});
