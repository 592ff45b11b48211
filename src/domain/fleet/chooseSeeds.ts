import computeRank from './computeRank.ts';

/**
 * Sorts the seeds in the order in which a host asks them. All hosts of a fleet have the same seeds
 * and start at the same time, so each asks them in an order of its own.
 */
export default function chooseSeeds(seeds: readonly string[], host: string): readonly string[] {
  return [...seeds].sort((left, right) =>
    computeRank(host, left) < computeRank(host, right) ? -1 : 1,
  );
}
