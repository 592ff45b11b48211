import type { Server } from 'node:http';

import FailureError from '../../domain/errors/FailureError.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';
import type Log from '../../ports/Log.ts';

/** Where and how a server listens. */
export interface ListenOptions {
  readonly address: ListenAddress;
  /** Settings key of the address. */
  readonly key: string;
  readonly log: Log;
}

// Node.js ends the process at an error that has no listener, and takes its own listeners off a
// connection that it hands over (`upgrade`, `connect`) or whose parser is gone.
function watchErrors(server: Server, { key, log }: ListenOptions): void {
  server.on('connection', (socket) => {
    socket.on('error', ({ message }) => {
      log.debug('lifecycle: a connection failed', { listener: key, error: message });
    });
  });
  // Accepting a connection can fail, for example for want of descriptors.
  server.on('error', ({ message }) => {
    log.error('lifecycle: a listener failed', { listener: key, error: message });
  });
}

/**
 * Starts listening on the address; rejects with `address_in_use`, whose message names the settings
 * key and its value. Errors of the server and of its connections are logged from then on.
 */
export default function openServer(server: Server, options: ListenOptions): Promise<void> {
  const { address, key } = options;
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
      watchErrors(server, options);
      resolve();
    });
  });
}
