import { createHash } from 'node:crypto';

/**
 * Ranks an address for a host. Each host gets another pseudorandom order of the same addresses, so
 * that sorting by rank spreads the hosts over them.
 */
export default function computeRank(host: string, address: string): string {
  return createHash('sha256').update(`${host} ${address}`).digest('hex');
}
