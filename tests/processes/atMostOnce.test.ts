import { request } from 'undici';
import { describe, expect, it } from 'vitest';

import type { ExampleFleet } from '../../examples/fleet/startExampleFleet.ts';
import useExampleFleet from './useExampleFleet.ts';

const sleep = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

async function setFault(
  fleet: ExampleFleet,
  upstream: string,
  fault: Readonly<Record<string, number>>,
): Promise<void> {
  const target = fleet.upstreams.find(({ name }) => name === upstream);
  const answer = await request(`http://${target?.control}/behaviour`, {
    method: 'POST',
    body: JSON.stringify(fault),
  });
  await answer.body.dump();
}

describe('operations that must not repeat, in separate processes', () => {
  const getStartedFleet = useExampleFleet({
    controlHosts: 3,
    entryHosts: 3,
    upstreams: 4,
    latencyMs: 20,
  });

  // Guards against a second run of an operation through another entry host while the first host is
  // frozen or killed, a control host is killed, and upstreams reset connections or truncate
  // answers.
  it('should run each booking at most once and report not-run only when it did not run', async () => {
    const { fleet, caller } = getStartedFleet();
    const { hosts } = fleet;
    await setFault(fleet, 'bookings-1', { resetAfterShare: 0.3 });
    await setFault(fleet, 'bookings-2', { truncateShare: 0.3 });
    await setFault(fleet, 'bookings-3', { resetBeforeShare: 0.3 });
    const running: Promise<unknown>[] = [];
    const sendBookings = async (count: number): Promise<void> => {
      for (let index = 0; index < count; index += 1) {
        running.push(caller.runBooking(index));
        await sleep(10);
      }
    };
    await sendBookings(50);
    hosts.getProcess('entry-1').freeze();
    await sendBookings(50);
    await hosts.getProcess('control-1').kill();
    await sendBookings(50);
    hosts.getProcess('entry-1').resume();
    await hosts.getProcess('entry-2').kill();
    await sendBookings(50);
    hosts.startHost('control-1');
    hosts.startHost('entry-2');
    await sendBookings(20);
    await Promise.all(running);

    const runs = await caller.countRuns();

    const repeated = caller.bookings.filter(({ key }) => (runs.get(key) ?? 0) > 1);
    const notRunButRan = caller.bookings.filter(
      ({ key, outcomes }) =>
        outcomes.every((outcome) => outcome === 'not-run') && (runs.get(key) ?? 0) > 0,
    );
    const ranButNotOnce = caller.bookings.filter(
      ({ key, outcomes }) => outcomes.includes('ran') && runs.get(key) !== 1,
    );
    const ran = caller.bookings.filter(({ outcomes }) => outcomes.includes('ran'));
    expect(repeated).toEqual([]);
    expect(notRunButRan).toEqual([]);
    expect(ranButNotOnce).toEqual([]);
    // More than half of the bookings run in spite of the faults; if none ran, the checks above
    // would always pass.
    expect(ran.length).toBeGreaterThan(110);
  }, 90_000);

  // Guards against a claim that is granted before a majority of control hosts has stored it.
  it('should refuse bookings with not-run and serve look-ups without a majority of control hosts', async () => {
    const { fleet, caller } = getStartedFleet();
    const { hosts } = fleet;
    const [entry] = hosts.entryHosts;
    if (!entry) throw new Error('the fleet has no entry host');
    await hosts.waitUntil('entry-1 is ready', () => hosts.isReady(entry));
    await hosts.getProcess('control-2').kill();
    await hosts.getProcess('control-3').kill();

    const refused = caller.runBooking(0);
    const lookUp = await request(`http://${entry.callers}/history/f-1`);
    await lookUp.body.dump();
    const { key, outcomes } = await refused;

    expect(lookUp.statusCode).toBe(200);
    expect(new Set(outcomes)).toEqual(new Set(['not-run']));
    expect((await caller.countRuns()).get(key)).toBeUndefined();

    hosts.startHost('control-2');
    hosts.startHost('control-3');
    await hosts.waitUntil('bookings run again', async () => {
      const booking = await caller.runBooking(0);
      return booking.outcomes.includes('ran');
    });
  }, 90_000);
});
