import { request } from 'undici';
import { describe, expect, it } from 'vitest';

import useExampleFleet from './useExampleFleet.ts';

describe('loss of a single process', () => {
  const getStartedFleet = useExampleFleet({
    controlHosts: 3,
    entryHosts: 2,
    upstreams: 3,
    latencyMs: 10,
  });

  async function lookUp(host: string): Promise<number> {
    const entryHost = getStartedFleet().fleet.hosts.entryHosts.find((entry) => entry.host === host);
    const answer = await request(`http://${entryHost?.callers}/history/f-1`);
    await answer.body.dump();
    return answer.statusCode;
  }

  // Guards against a single point of failure: each row kills a process on which the others must not
  // depend. Processes that earlier rows killed stay down, except the control hosts.
  it.each(['history-1', 'bookings-1', 'control-1', 'control-2', 'control-3', 'entry-1'])(
    'should keep serving look-ups and bookings when %s is killed',
    async (name) => {
      const { fleet, caller } = getStartedFleet();
      await fleet.hosts.getProcess(name).kill();

      const statuses = await Promise.all(Array.from({ length: 20 }, () => lookUp('entry-2')));
      const booking = await caller.runBooking(1);

      expect(new Set(statuses)).toEqual(new Set([200]));
      expect(booking.outcomes).toContain('ran');
      if (name.startsWith('control')) {
        fleet.hosts.startHost(name);
        const host = fleet.hosts.controlHosts.find((control) => control.host === name);
        await fleet.hosts.waitUntil(`${name} is ready`, async () =>
          host ? fleet.hosts.isReady(host) : false,
        );
      }
    },
    60_000,
  );
});
