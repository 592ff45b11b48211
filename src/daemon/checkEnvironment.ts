import { once } from 'node:events';
import { createServer } from 'node:http';

import openDataFolder from '../adapters/disk/openDataFolder.ts';
import openServer from '../adapters/http/openServer.ts';
import FailureError from '../domain/errors/FailureError.ts';
import type DaemonSettings from '../domain/settings/DaemonSettings.ts';
import type { ListenAddress } from '../domain/settings/DaemonSettings.ts';
import type Log from '../ports/Log.ts';

async function checkAddress(name: string, address: ListenAddress, log: Log): Promise<void> {
  const server = createServer();
  await openServer(server, { address, key: `listen.${name}`, log });
  await once(server.close(), 'close');
}

/**
 * Checks the listen addresses and the data folder without starting the daemon. Rejects with a
 * `FailureError` when one of them can't be used.
 */
export default async function checkEnvironment(settings: DaemonSettings, log: Log): Promise<void> {
  if (settings.dataFolder !== undefined) {
    const folder = await openDataFolder(settings.dataFolder);
    if (!folder.ok) throw new FailureError(folder.failure);
  }
  const addresses = Object.entries(settings.listen).filter(([, address]) => address !== undefined);
  await Promise.all(
    addresses.map(([name, address]) => checkAddress(name, address as ListenAddress, log)),
  );
}
