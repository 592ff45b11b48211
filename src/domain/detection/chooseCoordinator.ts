import { createHash } from 'node:crypto';

import type HostRecord from '../membership/HostRecord.ts';

function computeRank(service: string, host: string): number {
  return createHash('sha256').update(`${service}\n${host}`).digest().readUInt32BE(0);
}

/**
 * Chooses the coordinator of a service by rendezvous hashing: each host ranks all candidates in the
 * same order, and the loss of a coordinator moves only the services that it coordinated.
 */
export default function chooseCoordinator(
  service: string,
  hosts: readonly HostRecord[],
): HostRecord | undefined {
  return hosts
    .filter(({ role, state }) => role === 'entry' && state === 'ready')
    .map((record) => ({ record, rank: computeRank(service, record.host) }))
    .sort((a, b) => b.rank - a.rank || (a.record.host < b.record.host ? -1 : 1))[0]?.record;
}
