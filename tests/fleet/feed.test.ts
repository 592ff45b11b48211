import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import FeedSubscriber from '../../src/application/fleet/FeedSubscriber.ts';
import FleetView from '../../src/application/fleet/FleetView.ts';
import type { ControlHostInfo } from '../../src/domain/fleet/FleetHosts.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import createRegistration from '../fixtures/createRegistration.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeFeedHost from '../fixtures/FakeFeedHost.ts';
import SilentLog from '../fixtures/SilentLog.ts';

function createInfo(failureDomain: string, index = 0): ControlHostInfo {
  return {
    address: `${failureDomain}:1`,
    operatorsAddress: `${failureDomain}:${index + 2}`,
    failureDomain,
  };
}

describe('FeedSubscriber', () => {
  let clock: FakeClock;
  let stopping: AbortController;
  let controlHosts: Map<string, FakeFeedHost>;
  let view: FleetView;
  let subscriber: FeedSubscriber;
  let tasks: Promise<void>[];
  const controlHostInfos = ['south', 'north', 'west'].map(createInfo);

  function getControl(address: string): FakeFeedHost {
    const control = controlHosts.get(address);
    if (!control) throw new Error(`control host "${address}" does not exist`);
    return control;
  }

  beforeEach(() => {
    clock = new FakeClock();
    stopping = new AbortController();
    controlHosts = new Map(
      controlHostInfos.map(
        ({ address }) => [address, new FakeFeedHost(clock, () => controlHostInfos)] as const,
      ),
    );
    view = new FleetView({
      clock,
      log: new SilentLog(),
      codec: {
        decodePreset: (document) => ({
          ok: true,
          value: {
            numbered: { number: Number(document), document },
            preset: createPreset({ routes: [createRoute({ path: '/history/*', host: 'a' })] }),
          },
        }),
      },
      onPreset: () => undefined,
    });
    subscriber = new FeedSubscriber({
      clock,
      log: new SilentLog(),
      ownHost: { host: 'n1', address: 'n1:1', failureDomain: 'north' },
      view,
      readSeeds: () => ['south:1', 'west:1'],
      openLink: (address) => getControl(address).createLink(),
    });
    tasks = [...controlHosts.values()].map(({ feed }) => feed.run(stopping.signal));
  });

  afterEach(async () => {
    stopping.abort();
    await clock.advanceBy(10_000);
    await Promise.all(tasks);
  });

  function startSubscriber(): void {
    tasks.push(subscriber.run(stopping.signal));
  }

  function commitOnAllHosts(number: number): void {
    controlHosts.forEach((control) => control.commitPreset(number));
  }

  // Guards against a feed that sends traffic between failure domains for as long as the process
  // runs.
  it('should switch from a seed of another failure domain to a control host of its own', async () => {
    startSubscriber();
    commitOnAllHosts(1);

    await clock.advanceBy(3000);

    expect(subscriber.source).toBe('north:1');
    expect(view.state?.revision).toBe(1);
  });

  // Guards against every starting host fetching its initial state from another failure domain.
  it('should fetch its initial state only from a control host of its own failure domain', async () => {
    commitOnAllHosts(1);
    startSubscriber();

    await clock.advanceBy(3000);

    expect([...controlHosts].map(([address, { stateAnswers }]) => [address, stateAnswers])).toEqual(
      [
        ['south:1', 0],
        ['north:1', 1],
        ['west:1', 0],
      ],
    );
  });

  // Guards against all entry hosts polling all control hosts while there is no leader.
  it('should make few calls and not become ready while the group has no leader', async () => {
    controlHosts.forEach((control) => {
      Object.assign(control, { isCurrent: false });
    });
    startSubscriber();

    await clock.advanceBy(2000);

    const calls = [...controlHosts.values()].reduce((sum, control) => sum + control.calls, 0);
    expect(calls).toBeLessThanOrEqual(3);
    expect(view.isReady).toBe(false);
  });

  // All control hosts were killed, and one of them restarted with an empty disk. Guards against
  // entry hosts that wait for this one before they use the others.
  it('should not wait for a control host that restarted with an empty disk', async () => {
    commitOnAllHosts(1);
    const empty = new FakeFeedHost(clock, () => controlHostInfos.slice(0, 1));
    Object.assign(empty, { isCurrent: false, isEmptyJoiner: true });
    controlHosts.set('south:1', empty);
    startSubscriber();

    await clock.advanceBy(150);

    expect(view.state?.revision).toBe(1);
  });

  it('should receive a committed preset within 20 ms', async () => {
    startSubscriber();
    commitOnAllHosts(1);
    await clock.advanceBy(3000);

    commitOnAllHosts(5);
    await clock.advanceBy(20);

    expect(view.state?.revision).toBe(5);
  });

  it('should switch from a control host that lost its leader, and return when it has one again', async () => {
    startSubscriber();
    commitOnAllHosts(1);
    await clock.advanceBy(3000);
    const north = getControl('north:1');

    north.isCurrent = false;
    ['south:1', 'west:1'].forEach((address) => getControl(address).commitPreset(2));
    await clock.advanceBy(500);
    const revisionWithoutLeader = view.state?.revision;
    north.isCurrent = true;
    north.commitPreset(2);
    await clock.advanceBy(6000);

    expect(revisionWithoutLeader).toBe(2);
    expect(subscriber.source).toBe('north:1');
  });

  // Guards against a host that waits for one preferred control host and so never tries the others.
  it('should return to a preferred control host while another one stays without a leader', async () => {
    const own = { ...createInfo('north'), address: 'north:0' };
    const infos = [own, ...controlHostInfos];
    infos.forEach(({ address }) => controlHosts.set(address, new FakeFeedHost(clock, () => infos)));
    controlHosts.forEach(({ feed }) => tasks.push(feed.run(stopping.signal)));
    commitOnAllHosts(1);
    startSubscriber();
    await clock.advanceBy(3000);
    getControl('north:0').isCurrent = false;
    getControl('north:1').isDown = true;
    await clock.advanceBy(5000);

    getControl('north:1').isDown = false;
    await clock.advanceBy(5000);

    expect(subscriber.source).toBe('north:1');
  });

  it('should switch from a control host that does not answer, and return when it answers again', async () => {
    startSubscriber();
    commitOnAllHosts(1);
    await clock.advanceBy(3000);
    const north = getControl('north:1');

    north.isDown = true;
    await clock.advanceBy(5000);
    const sourceWhileDown = subscriber.source;
    north.isDown = false;
    await clock.advanceBy(8000);

    expect(sourceWhileDown).not.toBe('north:1');
    expect(subscriber.source).toBe('north:1');
  });

  describe('with three control hosts in its own failure domain', () => {
    const ownAddresses = ['north:1', 'north:2', 'north:3'];

    beforeEach(async () => {
      const infos = [
        ...controlHostInfos,
        ...ownAddresses.slice(1).map((address) => ({ ...createInfo('north'), address })),
      ];
      infos.forEach(({ address }) =>
        controlHosts.set(address, new FakeFeedHost(clock, () => infos)),
      );
      controlHosts.forEach(({ feed }) => tasks.push(feed.run(stopping.signal)));
      startSubscriber();
      commitOnAllHosts(1);
      await clock.advanceBy(3000);
    });

    // A fleet must bear the loss of two control hosts, and 3 s later presets must again be active
    // 2 s after they were accepted. Guards against an entry host that waits for the answers of
    // several lost control hosts in turn. The offset is that of the loss from a feed request.
    it.each([0, 250, 500, 750, 1000, 1250, 1500, 1750])(
      'should activate a preset within 3 s of the loss of all three (offset %i ms)',
      async (offsetMs) => {
        await clock.advanceBy(offsetMs);
        ownAddresses.forEach((address) => {
          getControl(address).isDown = true;
        });
        await clock.advanceBy(950);
        ['south:1', 'west:1'].forEach((address) => getControl(address).commitPreset(2));
        await clock.advanceBy(2050);

        expect(view.state?.revision).toBe(2);
      },
    );

    // Guards against an entry host that misses presets while it tries control hosts that stay dark.
    it('should receive each preset within 50 ms while preferred control hosts stay lost', async () => {
      ownAddresses.forEach((address) => {
        getControl(address).isDown = true;
      });
      await clock.advanceBy(4000);
      const late: number[] = [];
      for (let number = 2; number < 60; number += 1) {
        ['south:1', 'west:1'].forEach((address) => getControl(address).commitPreset(number));
        await clock.advanceBy(50);
        if (view.state?.revision !== number) late.push(number);
        await clock.advanceBy(130);
      }

      expect(late).toEqual([]);
    });
  });

  // Guards against an entry host that reverts to an older preset or older upstreams.
  it('should ignore older state from a control host that lags', async () => {
    startSubscriber();
    commitOnAllHosts(1);
    commitOnAllHosts(3);
    await clock.advanceBy(3000);
    const south = getControl('south:1');
    Object.assign(south, { appliedIndex: 1 });
    south.state.numberedPreset = { number: 1, document: '1' };
    ['north:1', 'west:1'].forEach((address) => {
      getControl(address).isDown = true;
    });

    await clock.advanceBy(6000);

    expect(view.state?.revision).toBe(3);
    expect(view.position).toBe(2);
  });

  it('should list serving upstreams as usable, and not those that are leaving', async () => {
    startSubscriber();
    commitOnAllHosts(1);
    await clock.advanceBy(3000);
    const change = (state: 'serving' | 'leaving', sequence: number): void => {
      controlHosts.forEach((control) => {
        const index = control.appliedIndex + 1;
        control.state.registry.applyRegistration(
          createRegistration({ state, sequence }),
          'c1',
          index,
        );
        Object.assign(control, { appliedIndex: index });
      });
    };

    change('serving', 1);
    await clock.advanceBy(50);
    const [usable] = view.listUsable('kilns');
    change('leaving', 2);
    await clock.advanceBy(50);

    expect(usable?.record.address).toBe('10.0.0.1:8080');
    expect(view.listUsable('kilns')).toEqual([]);
    expect(usable && view.isUsable(usable.record)).toBe(false);
  });

  it('should keep hosts that a restarted control host does not list, and drop them within 15 s', async () => {
    const peer = { host: 'n2', address: 'n2:1', failureDomain: 'north' };
    const listPeerAddresses = (): string[] => view.entryHosts.map(({ address }) => address).sort();
    commitOnAllHosts(1);
    startSubscriber();
    await clock.advanceBy(3000);
    view.applyHosts({ version: 'both', controlHosts: controlHostInfos, entryHosts: [peer] });

    view.applyHosts({ version: 'restarted', controlHosts: controlHostInfos, entryHosts: [] });
    const addressesAtFirst = listPeerAddresses();
    await clock.advanceBy(15_000);

    expect(addressesAtFirst).toContain('n2:1');
    expect(listPeerAddresses()).toEqual(['n1:1']);
  });
});
