import { afterEach, describe, expect, it } from 'vitest';

import FindMyWayRouteTableBuilder from '../../src/adapters/http/FindMyWayRouteTableBuilder.ts';
import { checkPresetState } from '../../src/adapters/trpc/presetMessages.ts';
import PresetWatcher from '../../src/application/presets/PresetWatcher.ts';
import type PresetState from '../../src/domain/presets/PresetState.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeFleet, { FakePresetGroup, createState } from '../fixtures/FakeFleet.ts';
import FakeNetwork from '../fixtures/FakeNetwork.ts';
import SilentLog from '../fixtures/SilentLog.ts';

describe('preset watcher in a fleet', () => {
  let fleet: FakeFleet;

  afterEach(() => fleet.stopAll());

  const listRevisions = (): (number | undefined)[] =>
    fleet.listHosts('e').map(({ watcher }) => watcher?.state?.revision);

  // Guards against a preset change that reaches a host only over a direct connection from a control
  // host: an accepted change must be active on every host within 5 s.
  it('should receive a new revision through peers within 5 s when no control host can reach the host', async () => {
    fleet = new FakeFleet({ controlHosts: 3, entryHosts: 43 });
    await fleet.clock.advanceBy(2000);
    expect(listRevisions()).toEqual(Array.from({ length: 43 }, () => 1));
    fleet.controlNames.forEach((name) => fleet.network.cuts.add(`${name}>e7`));

    fleet.control.commitNext(['c2']);
    await fleet.clock.advanceBy(5000);

    expect(listRevisions()).toEqual(Array.from({ length: 43 }, () => 2));
  });

  // Guards against a restarted host that uses an older revision than before the restart: a host
  // must not go back to an older preset.
  it('should not become ready after a restart until the control group confirms a revision', async () => {
    fleet = new FakeFleet({ controlHosts: 3, entryHosts: 3 });
    await fleet.clock.advanceBy(2000);
    // Only e1 receives revision 2 before it loses the connection to the control hosts.
    ['e2', 'e3'].forEach((other) => fleet.network.cutOff(other, ['e1', ...fleet.controlNames]));
    fleet.control.commitNext([]);
    await fleet.clock.advanceBy(1000);
    expect(fleet.getHost('e1').watcher?.state?.revision).toBe(2);
    fleet.network.cutOff('e1', fleet.controlNames);
    fleet.killHost('e1');

    const { watcher } = fleet.startHost('e1');
    // The peers of the new process have only revision 1.
    watcher?.mergeRecords([createState(1)]);
    await fleet.clock.advanceBy(60_000);
    expect(watcher?.isReady()).toBe(false);
    expect(watcher?.state).toBeUndefined();

    fleet.network.cuts.clear();
    await fleet.clock.advanceBy(5000);
    expect(watcher?.state?.revision).toBe(2);
  });

  // Guards against a start that needs a connection to the leader, and against a start without a
  // majority of the control group.
  it('should get the revision confirmed through a follower once the leader has a majority', async () => {
    fleet = new FakeFleet({ controlHosts: 3, entryHosts: 2 });
    fleet.network.cutOff('e1', ['c1', 'c2']);
    fleet.control.hasMajority = false;
    await fleet.clock.advanceBy(10_000);
    expect(fleet.getHost('e1').watcher?.isReady()).toBe(false);

    fleet.control.hasMajority = true;
    await fleet.clock.advanceBy(5000);

    expect(fleet.getHost('e1').watcher?.state?.revision).toBe(1);
  });
});

describe('preset watcher', () => {
  const startWatcher = (confirmed = 1) => {
    const clock = new FakeClock();
    const control = new FakePresetGroup(clock);
    control.committed = createState(confirmed);
    const source = control.createSource('c1');
    const network = new FakeNetwork({ clock });
    network.handlers.set('c1', { ...source, handleExchange: (message) => message });
    const watcher = new PresetWatcher({
      clock,
      log: new SilentLog(),
      routeTableBuilder: new FindMyWayRouteTableBuilder(),
      controlHosts: [{ host: 'c1', address: '127.0.0.1:1' }],
      checkState: checkPresetState,
      exchangeNow: () => undefined,
      dialer: network.createPresetDialer('e1', () => true),
    });
    const stopController = new AbortController();
    const runPromise = watcher.run(stopController.signal);
    const stop = async (): Promise<void> => {
      stopController.abort();
      await clock.advanceBy(20_000);
      await runPromise;
    };
    return { clock, watcher, stop, network };
  };

  // Guards against activating a preset of another fleet or an older revision.
  it('should ignore states of another group and older revisions', async () => {
    const { clock, watcher, stop } = startWatcher(5);
    watcher.mergeRecords([createState(9, 'other')]);
    await clock.advanceBy(100);
    expect(watcher.state?.revision).toBe(5);

    watcher.mergeRecords([createState(12, 'other'), createState(4)]);

    expect(watcher.state).toMatchObject({ groupId: 'group', revision: 5 });
    expect(watcher.listVersions()).toEqual({ group: [5] });
    expect(watcher.getCounts().otherGroup).toBe(1);
    await stop();
  });

  // Guards against dropping a state that a peer sent early and that is newer than the revision that
  // the control group confirms.
  it('should activate a newer state from a peer once an older revision is confirmed', async () => {
    const { clock, watcher, stop } = startWatcher(5);
    watcher.mergeRecords([createState(6)]);
    expect(watcher.state).toBeUndefined();

    await clock.advanceBy(100);

    expect(watcher.state?.revision).toBe(6);
    await stop();
  });

  // Guards against a host that stops serving when the control group is unreachable for hours.
  it('should keep the active preset without control hosts for 4 hours and then accept a newer one from a peer', async () => {
    const { clock, watcher, stop, network } = startWatcher();
    await clock.advanceBy(100);
    network.cutOff('e1', ['c1']);
    await clock.advanceBy(4 * 3_600_000);
    expect(watcher.state?.revision).toBe(1);

    watcher.mergeRecords([createState(2)]);

    expect(watcher.state?.revision).toBe(2);
    expect(watcher.routeTable?.findRoute('GET', '/history/f-1')?.service).toBe('history');
    await stop();
  });

  // Guards against records from peers that break the active route table.
  it('should keep the active preset when a state is malformed or its routes collide', async () => {
    const { clock, watcher, stop } = startWatcher();
    await clock.advanceBy(100);
    const routes = [createRoute(), createRoute()];
    const colliding: PresetState = { ...createState(3), preset: createPreset({ routes }) };

    watcher.mergeRecords([null, { ...createState(2), revision: '2' }, colliding]);

    expect(watcher.state?.revision).toBe(1);
    expect(watcher.getCounts().malformed).toBe(2);
    watcher.mergeRecords([createState(4)]);
    expect(watcher.state?.revision).toBe(4);
    await stop();
  });
});
