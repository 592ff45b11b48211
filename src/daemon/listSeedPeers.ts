import type FleetSettings from '../domain/settings/FleetSettings.ts';
import formatAddress from './formatAddress.ts';

/**
 * Peers addresses of the seeds. The settings name their operators' addresses; the port of the peers
 * listener is the same on all hosts.
 */
export default function listSeedPeers({
  seeds,
  listen,
}: Pick<FleetSettings, 'seeds'> & { readonly listen: Pick<FleetSettings['listen'], 'peers'> }) {
  const { port } = listen.peers;
  return seeds.map(({ ip }) => formatAddress({ ip, port }));
}
