import { beforeEach, describe, expect, it } from 'vitest';

import RegistryGroup from '../fixtures/RegistryGroup.ts';
import type { RegistryHost } from '../fixtures/RegistryGroup.ts';
import createRegistration from '../fixtures/createRegistration.ts';

describe('RegistrationService', () => {
  let group: RegistryGroup;
  let current: RegistryHost;
  let lagging: RegistryHost;

  beforeEach(() => {
    group = new RegistryGroup();
    current = group.createHost('current');
    lagging = group.createHost('lagging');
  });

  async function announce(host: RegistryHost, changes: Parameters<typeof createRegistration>[0]) {
    const accepted = await host.registrations.acceptRegistration(createRegistration(changes));
    current.catchUp();
    return accepted.ok;
  }

  async function depart(host: RegistryHost, bornAt: number | undefined): Promise<boolean> {
    const removed = await host.registrations.removeUpstream('u1', bornAt);
    current.catchUp();
    return removed.ok;
  }

  // Guards against a departure that is acknowledged and lost: a control host that has just started,
  // or that lags, knows nothing of the run that leaves.
  describe.each([2000, undefined])('departure with start time %s', (bornAt) => {
    it.each([
      ['nothing', []],
      ['that the earlier run serves', ['serving']],
      ['that the earlier run has left', ['serving', 'gone']],
    ])('should be committed at a host that knows %s', async (_title, known) => {
      if (known.includes('serving')) await announce(current, { bornAt: 1000 });
      if (known.includes('gone')) await depart(current, 1000);
      lagging.catchUp();
      await announce(current, { bornAt: 2000 });

      const isAcknowledged = await depart(lagging, bornAt);
      await announce(current, { bornAt: 2000, sequence: 9 });

      expect(isAcknowledged).toBe(true);
      expect(group.listStates()).toEqual([]);
    });

    it('should be refused without a majority', async () => {
      group.hasMajority = false;

      expect(await depart(lagging, bornAt)).toBe(false);
    });

    it('should be acknowledged for an upstream that nobody knows', async () => {
      expect(await depart(lagging, bornAt)).toBe(true);
    });
  });

  // Guards against an announcement that a cut delayed and that arrives after the departure.
  it.each([
    ['before any announcement of the upstream', []],
    ['while an earlier run is registered', [1000]],
  ])('should keep out a run that left %s', async (_title, known) => {
    for (const bornAt of known) await announce(current, { bornAt });

    await depart(lagging, 2000);
    await announce(current, { bornAt: 2000 });
    const statesAfterDeparture = group.listStates();
    await announce(current, { bornAt: 3000 });

    expect(statesAfterDeparture).toEqual([]);
    expect(group.listStates()).toEqual(['u1 serving']);
  });

  it('should not commit a departure again that this host knows', async () => {
    await announce(current, { bornAt: 1000 });
    await depart(current, 1000);
    const { length } = group.commands;

    expect(await depart(current, 1000)).toBe(true);
    expect(group.commands).toHaveLength(length);
  });
});
