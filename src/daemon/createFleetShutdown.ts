import DisabledClaimGate from '../application/claims/DisabledClaimGate.ts';
import Shutdown from '../application/lifecycle/Shutdown.ts';
import type { ShutdownOptions } from '../application/lifecycle/Shutdown.ts';

/** Creates the planned stop of an entry host in a fleet that is found through seeds. */
export default function createFleetShutdown(
  options: Omit<ShutdownOptions, 'claims' | 'hostRecord'>,
): Shutdown {
  return new Shutdown({
    ...options,
    claims: new DisabledClaimGate(),
    // Nothing to withdraw: control hosts remove an entry host that stops requesting the feed.
    hostRecord: { announceStopping: async () => undefined, removeRecord: async () => undefined },
  });
}
