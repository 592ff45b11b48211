import type { Server } from 'node:http';

import FailureError from '../../domain/errors/FailureError.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';

/**
 * Starts listening on the address; rejects with `address_in_use`, whose message names the settings
 * key and its value.
 */
export default function openServer(
  server: Server,
  address: ListenAddress,
  key: string,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const onError = (error: NodeJS.ErrnoException): void => {
      const reason =
        error.code === 'EADDRINUSE' ? 'the address is in use' : `cannot listen: ${error.message}`;
      const message = `key ${key}: value "${address.ip}:${address.port}": ${reason}; expected a free address of this host`;
      reject(new FailureError({ kind: 'address_in_use', message }));
    };
    server.once('error', onError);
    server.listen(address.port, address.ip, () => {
      server.off('error', onError);
      resolve();
    });
  });
}
