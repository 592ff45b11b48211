import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import RegistryGroup, { silenceMs } from '../fixtures/RegistryGroup.ts';
import type { RegistryHost } from '../fixtures/RegistryGroup.ts';
import createRegistration from '../fixtures/createRegistration.ts';

const announceMs = 1500;

describe('RegistrationService', () => {
  let sequence = 1;
  let group: RegistryGroup;
  let current: RegistryHost;
  let lagging: RegistryHost;

  beforeEach(() => {
    group = new RegistryGroup();
    current = group.createHost('current');
    lagging = group.createLaggingHost('lagging');
  });

  async function announce(host: RegistryHost, changes: Parameters<typeof createRegistration>[0]) {
    const accepted = await host.registrations.acceptRegistration(createRegistration(changes));
    return accepted.ok;
  }

  async function depart(host: RegistryHost, bornAt: number | undefined): Promise<boolean> {
    const removed = await host.registrations.removeUpstream('u1', bornAt);
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

  describe('two upstreams at one address', () => {
    let stopping: AbortController;
    let running: Promise<void>;

    beforeEach(() => {
      stopping = new AbortController();
      running = current.registrations.run(stopping.signal);
    });

    afterEach(async () => {
      stopping.abort();
      await group.clock.advanceBy(2000);
      await running;
    });

    /** Announces upstreams as often as they do, for a time in ms; returns the states after each. */
    async function announceFor(ms: number, upstreams: Record<string, number>) {
      const until = group.clock.now() + ms;
      const states: string[][] = [];
      while (group.clock.now() < until) {
        sequence += 1;
        for (const [upstream, bornAt] of Object.entries(upstreams)) {
          await announce(current, { upstream, bornAt, sequence });
        }
        await group.clock.advanceBy(announceMs);
        states.push([...group.listStates()]);
      }
      return states;
    }

    // Guards against a message of another writer that takes a live upstream out of use for good.
    it.each([
      ['falls silent', async () => undefined],
      ['leaves', () => current.registrations.removeUpstream('w', 2000)],
    ])('should keep one in use that announces itself when the other %s', async (_title, end) => {
      await announceFor(3000, { u1: 1000 });
      await announce(current, { upstream: 'w', bornAt: 2000, state: 'leaving' });
      await end();

      const states = await announceFor(40_000, { u1: 1000 });

      expect(states.every((list) => list.includes('u1 serving'))).toBe(true);
      expect(states.at(-1)).not.toContain('w leaving');
    });

    // Guards against requests to a stopped upstream whose address now belongs to another one.
    it('should soon remove one that stopped', async () => {
      await announceFor(3000, { u1: 1000 });
      await announceFor(2000, {});

      const states = await announceFor(6000, { u2: 2000 });

      expect(states.every((list) => list.includes('u2 serving'))).toBe(true);
      expect(states.at(-1)).not.toContain('u1 serving');
    });

    // Guards against an announcement that a cut delayed until another upstream had the address.
    it('should not let a delayed announcement displace the newer one', async () => {
      await announceFor(3000, { u1: 1000 });
      await announceFor(7500, { u2: 2000 });
      await announce(current, { upstream: 'u1', bornAt: 1000, sequence: 90 });

      const states = await announceFor(12_000, { u2: 2000 });

      expect(states.every((list) => list.includes('u2 serving'))).toBe(true);
      expect(states.at(-1)).toEqual(['u1 silent', 'u2 serving']);
    });
  });

  // Guards against upstreams that are out of use for a moment because the host that tracked their
  // announcements no longer gets them.
  it('should keep an upstream in use that announces itself to another host than before', async () => {
    const other = group.createHost('other');
    const stopping = new AbortController();
    const tasks = [current, other].map((host) => host.registrations.run(stopping.signal));
    await announce(current, {});

    const states: string[] = [];
    for (const later of Array.from({ length: 40 }, (_, index) => index + 2)) {
      await announce(other, { sequence: later });
      await group.clock.advanceBy(announceMs);
      states.push(...group.listStates());
    }
    stopping.abort();
    await group.clock.advanceBy(2000);
    await Promise.all(tasks);

    expect(new Set(states)).toEqual(new Set(['u1 serving']));
    expect(group.state.registry.findUpstream('u1')?.keeper).toBe('other');
  });

  // Guards against a commit, and so traffic between failure domains, for every few announcements.
  it('should not change the tracking host of an upstream that calls the hosts in turn', async () => {
    const others = [group.createHost('second'), group.createHost('third')];
    await announce(current, {});

    for (const later of Array.from({ length: 30 }, (_, index) => index + 2)) {
      await announce([current, ...others][later % 3] ?? current, { sequence: later });
    }

    expect(group.commands).toHaveLength(1);
  });

  // Guards against a leader whose processor time goes to the upstreams that have all moved to other
  // control hosts, so that announcements and presets run into their timeouts.
  it('should take over many upstreams one after the other, without letting them wait', async () => {
    const other = group.createHost('other');
    const upstreams = Array.from({ length: 40 }, (_, index) => `u${index}`);
    let acceptedCount = 0;
    const announceAll = (host: RegistryHost, announced: number): void =>
      upstreams.forEach((upstream, index) => {
        const changes = { upstream, sequence: announced, address: `10.0.1.${index}:1` };
        announce(host, changes).then(
          (isAccepted) => {
            acceptedCount += isAccepted ? 1 : 0;
          },
          () => undefined,
        );
      });
    announceAll(current, 1);
    await group.clock.advanceBy(10);
    group.mostOpenProposals = 0;
    group.commitMs = 50;

    for (const announced of [2, 3, 4]) announceAll(other, announced);
    await group.clock.advanceBy(10);
    const acceptedSoon = acceptedCount;
    await group.clock.advanceBy(40 * 50 + 1000);

    expect(acceptedSoon).toBe(4 * upstreams.length);
    expect(group.mostOpenProposals).toBe(1);
    const keepers = upstreams.map((name) => group.state.registry.findUpstream(name)?.keeper);
    expect(new Set(keepers)).toEqual(new Set(['other']));
  });

  // Guards against announcements that are refused only because the host that hears them can't take
  // over the upstream.
  it('should acknowledge unchanged announcements without a majority', async () => {
    const other = group.createHost('other');
    await announce(current, {});
    group.hasMajority = false;

    const accepted = [];
    for (const later of [2, 3, 4, 5]) accepted.push(await announce(other, { sequence: later }));

    expect(accepted).toEqual([true, true, true, true]);
  });

  // Guards against a host that returns from a cut and removes the upstreams that have meanwhile
  // moved to another host.
  it('should not remove an upstream that another host has taken over', async () => {
    const returning = group.createLaggingHost('returning');
    const stopping = new AbortController();
    const running = returning.registrations.run(stopping.signal);
    await announce(returning, { sequence: 1 });
    returning.catchUp();
    for (const later of [2, 3, 4]) await announce(current, { sequence: later });

    await group.clock.advanceBy(2 * silenceMs);
    stopping.abort();
    await group.clock.advanceBy(2000);
    await running;

    expect(group.state.registry.findUpstream('u1')?.keeper).toBe('current');
    expect(group.listStates()).toEqual(['u1 serving']);
  });

  // Guards against a run that no host tracks, under the name of one that another host tracked.
  it('should track a new run where it announces itself when the earlier one has left', async () => {
    const other = group.createHost('other');
    await announce(current, { bornAt: 1000 });
    await depart(current, 1000);

    await announce(other, { bornAt: 2000 });

    expect(group.state.registry.findUpstream('u1')?.keeper).toBe('other');
  });

  it('should warn about a run that goes on announcing itself although it is not in use', async () => {
    const warning = 'membership: an upstream that announces itself is not in use';
    await announce(current, { bornAt: 2000 });

    await announce(current, { bornAt: 1000, sequence: 1 });
    await announce(current, { bornAt: 1000, sequence: 1 });
    await announce(current, { bornAt: 1000, sequence: 2 });
    const before = group.log.messages.includes(warning);
    await announce(current, { bornAt: 1000, sequence: 3 });
    await announce(current, { bornAt: 1000, sequence: 4 });

    expect(before).toBe(false);
    expect(group.log.messages.filter((message) => message === warning)).toHaveLength(1);
  });

  it('should not commit a departure again that this host knows', async () => {
    await announce(current, { bornAt: 1000 });
    await depart(current, 1000);
    const { length } = group.commands;

    expect(await depart(current, 1000)).toBe(true);
    expect(group.commands).toHaveLength(length);
  });
});
