import type { ControlHostInfo } from '../domain/fleet/FleetHosts.ts';

/** Lists one relay for every other failure domain: its control host with the lowest address. */
export default function listDomainRelays(
  hosts: readonly ControlHostInfo[],
  ownDomain: string,
): readonly string[] {
  const relayByDomain = new Map<string, string>();
  hosts
    .filter(({ failureDomain }) => failureDomain !== ownDomain)
    .forEach(({ failureDomain, address }) => {
      const selected = relayByDomain.get(failureDomain);
      if (selected === undefined || address < selected) relayByDomain.set(failureDomain, address);
    });
  return [...relayByDomain.values()];
}
