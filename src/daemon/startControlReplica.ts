import type TrpcPeerDialer from '../adapters/trpc/TrpcPeerDialer.ts';
import TrpcReplicationLink from '../adapters/trpc/TrpcReplicationLink.ts';
import { parseControlSnapshot } from '../adapters/trpc/controlMessages.ts';
import type ReportingDisk from '../application/replication/ReportingDisk.ts';
import Replica from '../application/replication/Replica.ts';
import type ControlCommand from '../domain/control/ControlCommand.ts';
import type { ControlReply } from '../domain/control/ControlCommand.ts';
import ControlStateMachine from '../domain/control/ControlStateMachine.ts';
import type { FleetControlSettings } from '../domain/settings/FleetSettings.ts';
import type RandomSource from '../ports/RandomSource.ts';
import fleetTimes from './fleetTimes.ts';
import formatAddress from './formatAddress.ts';
import listSeedPeers from './listSeedPeers.ts';
import openDisk from './openDisk.ts';
import type { DataFolderOptions } from './openDisk.ts';

/** Parts of a control host that its replica uses. */
export interface ControlReplicaOptions extends Omit<DataFolderOptions, 'folder'> {
  readonly settings: FleetControlSettings;
  readonly random: RandomSource;
  readonly dialer: TrpcPeerDialer;
}

/** A replica of the control group with its state and its files. */
export interface ControlReplica {
  readonly state: ControlStateMachine;
  readonly reporting: ReportingDisk;
  readonly replica: Replica<ControlCommand, ControlReply>;
}

/**
 * Opens the data folder of a control host and starts its replica; rejects with a `FailureError`
 * when the data folder can't be used.
 */
export default async function startControlReplica(
  options: ControlReplicaOptions,
): Promise<ControlReplica> {
  const { settings, clock, random, log, stopSignal, stopMs, dialer } = options;
  const ownAddress = formatAddress(settings.listen.peers);
  const state = new ControlStateMachine({ parseSnapshot: parseControlSnapshot });
  const seeds = listSeedPeers(settings);
  const folder = settings.dataFolder;
  const { disk, reporting } = await openDisk({ folder, clock, log, stopSignal, stopMs });
  const replica = await Replica.startReplica<ControlCommand, ControlReply>({
    host: ownAddress,
    hosts: settings.formsGroup ? seeds : [],
    links: seeds
      .filter((address) => address !== ownAddress)
      .map((address) => {
        const { connection } = dialer.takeConnection({ host: address, address });
        return new TrpcReplicationLink({ host: address, connection });
      }),
    ...{ disk, clock, random, log, state },
    times: fleetTimes,
    minVoters: 2 * settings.lostHosts + 1,
  });
  return { state, reporting, replica };
}
