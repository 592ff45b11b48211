import { rename } from 'node:fs/promises';

import { request } from 'undici';
import { describe, expect, it } from 'vitest';

import { applyFirstPreset } from '../../examples/fleet/startExampleFleet.ts';
import useExampleFleet from './useExampleFleet.ts';

const sizes = { controlHosts: 3, entryHosts: 2, upstreams: 2, latencyMs: 10 };

// Follows the steps of docs/OPERATIONS.md, section "Lost majority".
describe('a control group that is bootstrapped again, in separate processes', () => {
  const getStartedFleet = useExampleFleet(sizes);

  async function replaceDataFolders(): Promise<void> {
    const { hosts } = getStartedFleet().fleet;
    const names = hosts.controlHosts.map(({ host }) => host);
    await Promise.all(names.map((name) => hosts.getProcess(name).stop()));
    await Promise.all(
      names.map((name) => rename(hosts.getPath(`${name}.data`), hosts.getPath(`${name}.aside`))),
    );
    names.forEach((name) => hosts.startHost(name));
  }

  async function restartEntryHosts(): Promise<void> {
    const { hosts } = getStartedFleet().fleet;
    for (const host of hosts.entryHosts) {
      await hosts.getProcess(host.host).stop();
      hosts.startHost(host.host);
      await hosts.waitUntil(`${host.host} is ready`, () => hosts.isReady(host));
    }
  }

  async function lookUp(): Promise<number> {
    const [entry] = getStartedFleet().fleet.hosts.entryHosts;
    const answer = await request(`http://${entry?.callers}/history/f-1`);
    await answer.body.dump();
    return answer.statusCode;
  }

  // Guards against a second run of an operation whose claim was lost with the old data folders, and
  // against documented steps that don't restore the fleet.
  it('should run new bookings and not repeat a booking that ran in the old group', async () => {
    const { fleet, caller } = getStartedFleet();
    const { hosts } = fleet;
    const old = await caller.runBooking(0);
    expect(old.outcomes).toEqual(['ran']);

    await replaceDataFolders();
    expect(await lookUp()).toBe(200);
    await applyFirstPreset(hosts, sizes);
    await restartEntryHosts();

    expect(await caller.sendBooking(old.key, 0)).toBe('unknown');
    expect(await caller.sendBooking(old.key, 1)).toBe('unknown');
    expect((await caller.runBooking(0)).outcomes).toContain('ran');
    expect((await caller.countRuns()).get(old.key)).toBe(1);
  }, 90_000);
});
