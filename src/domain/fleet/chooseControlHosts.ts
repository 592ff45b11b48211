import { createHash } from 'node:crypto';

import type { ControlHostInfo } from './FleetHosts.ts';

function computeRank(host: string, address: string): string {
  return createHash('sha256').update(`${host} ${address}`).digest('hex');
}

/**
 * The control hosts in the order in which an entry host follows them. All hosts of a failure domain
 * prefer the same one of it, so that it knows them all; those of other domains are spread.
 */
export default function chooseControlHosts(
  hosts: readonly ControlHostInfo[],
  own: { readonly host: string; readonly failureDomain: string },
): readonly ControlHostInfo[] {
  const isNear = ({ failureDomain }: ControlHostInfo): boolean =>
    failureDomain === own.failureDomain;
  const sortBy = (
    list: readonly ControlHostInfo[],
    readKey: (info: ControlHostInfo) => string,
  ): ControlHostInfo[] =>
    [...list].sort((left, right) => (readKey(left) < readKey(right) ? -1 : 1));
  return [
    ...sortBy(hosts.filter(isNear), ({ address }) => address),
    ...sortBy(
      hosts.filter((host) => !isNear(host)),
      ({ address }) => computeRank(own.host, address),
    ),
  ];
}
