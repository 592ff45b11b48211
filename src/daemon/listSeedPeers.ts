import type FleetSettings from '../domain/settings/FleetSettings.ts';
import formatAddress from './formatAddress.ts';

/**
 * Lists the addresses of the seeds' peers listeners. The settings contain the addresses of their
 * operators listeners; the port of the peers listener is the same on all hosts.
 */
export default function listSeedPeers({
  seeds,
  listen,
}: Pick<FleetSettings, 'seeds'> & { readonly listen: Pick<FleetSettings['listen'], 'peers'> }) {
  const { port } = listen.peers;
  return seeds.map(({ ip }) => formatAddress({ ip, port }));
}
