import { rename } from 'node:fs/promises';

import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { startExampleFleet } from '../../examples/fleet/startExampleFleet.ts';
import type { ExampleFleet } from '../../examples/fleet/startExampleFleet.ts';
import BookingCaller from './BookingCaller.ts';

// The steps of docs/operations.md, section "Lost majority".
describe('a control group that is formed again, in separate processes', () => {
  let fleet: ExampleFleet;
  let caller: BookingCaller;

  beforeAll(async () => {
    fleet = await startExampleFleet({
      controlHosts: 3,
      entryHosts: 2,
      upstreams: 2,
      latencyMs: 10,
    });
    caller = new BookingCaller(fleet);
  }, 60_000);

  afterAll(async () => {
    await caller.close();
    await fleet.stopAll();
  }, 60_000);

  async function replaceDataFolders(): Promise<void> {
    const { hosts } = fleet;
    const names = hosts.controlHosts.map(({ host }) => host);
    await Promise.all(names.map((name) => hosts.getProcess(name).stop()));
    await Promise.all(
      names.map((name) => rename(hosts.getPath(`${name}.data`), hosts.getPath(`${name}.aside`))),
    );
    names.forEach((name) => hosts.startHost(name));
  }

  async function runUntilDone(...words: readonly string[]): Promise<void> {
    await fleet.hosts.waitUntil(words.join(' '), async () => {
      const { code } = await fleet.hosts.runTool(words);
      return code === 0;
    });
  }

  async function restartEntryHosts(): Promise<void> {
    const { hosts } = fleet;
    for (const host of hosts.entryHosts) {
      await hosts.getProcess(host.host).stop();
      hosts.startHost(host.host);
      await hosts.waitUntil(`${host.host} is ready`, () => hosts.isReady(host));
    }
  }

  async function lookUp(): Promise<number> {
    const answer = await request(`http://${fleet.hosts.entryHosts[0]?.callers}/history/f-1`);
    await answer.body.dump();
    return answer.statusCode;
  }

  // Guards against a second run of an operation whose claim was lost with the old data folders, and
  // against steps in the operators' page that don't bring the fleet back.
  it('should run new bookings and none of the old group again', async () => {
    const file = fleet.hosts.getPath('ordinary.preset.yaml');
    const old = await caller.runBooking(0);
    expect(old.outcomes).toEqual(['ran']);

    await replaceDataFolders();
    expect(await lookUp()).toBe(200);
    await runUntilDone('preset', 'list');
    await runUntilDone('preset', 'put', 'ordinary', file, '--based-on', '0');
    await runUntilDone('preset', 'use', 'ordinary', '--based-on', '0');
    await restartEntryHosts();

    expect(await caller.sendBooking(old.key, 0)).toBe('unknown');
    expect(await caller.sendBooking(old.key, 1)).toBe('unknown');
    expect((await caller.runBooking(0)).outcomes).toContain('ran');
    expect((await caller.countRuns()).get(old.key)).toBe(1);
  }, 90_000);
});
