import { once } from 'node:events';
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
    log.warn('lifecycle: a listener failed', { listener: key, error: message });
  });
}

/**
 * Starts listening on the address; rejects with `address_in_use`, whose message names the settings
 * key and its value. Errors of the server and of its connections are logged from then on.
 */
export default async function openServer(server: Server, options: ListenOptions): Promise<void> {
  const { address, key } = options;
  // Leaves no listener behind when it fails, so the same server can be opened again.
  const listening = once(server, 'listening');
  server.listen(address.port, address.ip);
  try {
    await listening;
  } catch (error) {
    const { code, message: cause } = error as NodeJS.ErrnoException;
    const reason = code === 'EADDRINUSE' ? 'the address is in use' : `cannot listen: ${cause}`;
    const message = `key ${key}: value "${address.ip}:${address.port}": ${reason}; expected a free address of this host`;
    throw new FailureError({ kind: 'address_in_use', message });
  }
  watchErrors(server, options);
}
