import type { ControlHostInfo } from './FleetHosts.ts';
import computeRank from './computeRank.ts';

/**
 * Sorts the control hosts by an entry host's preference. Control hosts of its failure domain
 * come first, in an order that is the same for all entry hosts of the domain, so that they all
 * follow the same control host, which can then list them to each other. The others follow in a
 * pseudorandom order, which spreads the entry hosts over them.
 */
export default function chooseControlHosts(
  hosts: readonly ControlHostInfo[],
  entryHost: { readonly host: string; readonly failureDomain: string },
): readonly ControlHostInfo[] {
  const isSameDomain = ({ failureDomain }: ControlHostInfo): boolean =>
    failureDomain === entryHost.failureDomain;
  const sortBy = (
    list: readonly ControlHostInfo[],
    readKey: (info: ControlHostInfo) => string,
  ): ControlHostInfo[] =>
    [...list].sort((left, right) => (readKey(left) < readKey(right) ? -1 : 1));
  return [
    ...sortBy(hosts.filter(isSameDomain), ({ address }) => address),
    ...sortBy(
      hosts.filter((host) => !isSameDomain(host)),
      ({ address }) => computeRank(entryHost.host, address),
    ),
  ];
}
