import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import FeedSubscriber from '../../src/application/fleet/FeedSubscriber.ts';
import FleetView from '../../src/application/fleet/FleetView.ts';
import DefaultDialect from '../../src/application/requests/DefaultDialect.ts';
import IdentityResolver from '../../src/application/requests/IdentityResolver.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeFeedHost from '../fixtures/FakeFeedHost.ts';
import PausableClock from '../fixtures/PausableClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const addresses = ['north:1', 'south:1'];
const infos = addresses.map((address) => ({
  address,
  operatorsAddress: `${address}0`,
  failureDomain: address.slice(0, 5),
}));

/** Preset 2 and later ones lack the key that preset 1 has. */
const decodePreset = (document: string) => ({
  ok: true as const,
  value: {
    numbered: { number: Number(document), document },
    preset: createPreset({
      routes: [createRoute({ path: '/history/*' })],
      teams: [{ name: 'depots', keys: document === '1' ? ['key-1'] : [], burst: 0 }],
    }),
  },
});

describe('keys of teams on a host whose feed is outdated', () => {
  let time: FakeClock;
  let clock: PausableClock;
  let stopping: AbortController;
  let controls: readonly FakeFeedHost[];
  let view: FleetView;
  let identities: IdentityResolver;
  let tasks: Promise<void>[];

  function checkKey(): string {
    const checked = identities.resolveIdentity({
      ...{ method: 'GET', target: '/history/1', route: createRoute() },
      headers: [['pistachiohoist-key', 'key-1']],
    });
    return checked.ok ? checked.value.kind : checked.failure.kind;
  }

  beforeEach(async () => {
    time = new FakeClock();
    clock = new PausableClock(time);
    stopping = new AbortController();
    controls = addresses.map(() => new FakeFeedHost(time, () => infos));
    view = new FleetView({
      ...{ clock, log: new SilentLog(), codec: { decodePreset } },
      onPreset: () => undefined,
    });
    const subscriber = new FeedSubscriber({
      ...{ clock, log: new SilentLog(), view },
      ownHost: { host: 'n1', address: 'n1:1', failureDomain: 'north' },
      readSeeds: () => addresses,
      openLink: (address) => {
        const link = controls[addresses.indexOf(address)]?.createLink();
        if (!link) throw new Error(`control host "${address}" does not exist`);
        return {
          ...link,
          watchFeed: async (request, deadline) => {
            const answer = await link.watchFeed(request, deadline);
            await clock.yieldToEventLoop();
            return answer;
          },
        };
      },
    });
    identities = new IdentityResolver({ activePreset: view, dialect: new DefaultDialect() });
    tasks = [
      ...controls.map(({ feed }) => feed.run(stopping.signal)),
      subscriber.run(stopping.signal),
    ];
    controls.forEach((control) => control.commitPreset(1));
    await time.advanceBy(3000);
  });

  afterEach(async () => {
    clock.resume();
    stopping.abort();
    await time.advanceBy(10_000);
    await Promise.all(tasks);
  });

  // The control host of the own failure domain is followed first, then one that lacks preset 2.
  it('should stay withdrawn when the host follows a control host that is behind', async () => {
    expect(checkKey()).toBe('team');
    controls[0]?.commitPreset(2);
    await time.advanceBy(500);
    expect(checkKey()).toBe('team_key_unknown');

    Object.assign(controls[0] ?? {}, { isDown: true });
    const { calls = 0 } = controls[1] ?? {};
    await time.advanceBy(10_000);

    expect(controls[1]?.calls).toBeGreaterThan(calls);
    expect(checkKey()).toBe('team_key_unknown');
  });

  it('should be uncertain after a pause until a control host has answered', async () => {
    clock.pause();
    await time.advanceBy(1500);
    controls.forEach((control) => control.commitPreset(2));
    await time.advanceBy(1000);

    expect(checkKey()).toBe('host_not_ready');
    clock.resume();
    await time.advanceBy(600);
    expect(checkKey()).toBe('team_key_unknown');
  });

  // Guards against a host that is cut off from the control hosts and refuses everyone from then on.
  it('should count again after a pause if no control host answers for 1.5 s', async () => {
    controls.forEach((control) => Object.assign(control, { isDown: true }));
    clock.pause();
    await time.advanceBy(2000);
    clock.resume();

    expect(checkKey()).toBe('host_not_ready');
    await time.advanceBy(1500);
    expect(checkKey()).toBe('team');
  });

  // Guards against refusals on hosts that have only been idle or partitioned.
  it('should count without a pause, however old the feed is', async () => {
    controls.forEach((control) => Object.assign(control, { isDown: true }));
    await time.advanceBy(14_000);

    expect(checkKey()).toBe('team');
  });
});
