import { describe, expect, it } from 'vitest';

import PresetService from '../../src/application/presets/PresetService.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeControlGroup from '../fixtures/FakeControlGroup.ts';
import createPreset, { createService } from '../fixtures/createPreset.ts';

const change = { name: 'ordinary', basedOn: 0, operator: 'ana' };

function createServices() {
  const clock = new FakeClock();
  const hosts = ['control-1', 'control-2'];
  const group = new FakeControlGroup({ clock, hosts });
  const [leader, follower] = hosts.map(
    (host) =>
      new PresetService({ clock, log: group.createLog(host), presets: group.state.presets }),
  ) as [PresetService, PresetService];
  const settle = async <Value>(call: Promise<Value>): Promise<Value> => {
    await clock.advanceBy(10);
    return call;
  };
  const putAndUse = async (): Promise<void> => {
    const deadline = clock.now() + 1000;
    const preset = createPreset();
    await settle(leader.putPreset({ ...change, preset, changeId: 'c-1' }, deadline));
    await settle(leader.usePreset({ ...change, changeId: 'c-2' }, deadline));
  };
  const stop = new AbortController();
  const task = leader.run(stop.signal);
  const stopService = async (): Promise<void> => {
    stop.abort();
    await clock.advanceBy(1000);
    await task;
  };
  return { clock, group, leader, follower, settle, putAndUse, stopService };
}

describe('PresetService', () => {
  // Guards against an invalid preset in the log, where every replica would have to apply it.
  it('should refuse an invalid preset without proposing it', async () => {
    const { clock, group, leader } = createServices();
    const preset = createPreset({ services: { history: createService({ floor: 8 }) } });

    const result = await leader.putPreset({ ...change, preset, changeId: 'c-1' }, clock.now() + 9);

    expect(result).toMatchObject({ ok: false, failure: { kind: 'preset_invalid' } });
    expect(group.commits).toBe(0);
  });

  it('should wake a watcher when the active preset changes, but not when another preset changes', async () => {
    const { clock, leader, putAndUse, stopService } = createServices();
    await putAndUse();
    const deadline = clock.now() + 60_000;
    const watched = leader.watchState(2, deadline);
    const preset = createPreset();
    const otherPreset = { ...change, name: 'peak', preset, changeId: 'c-3' };
    await Promise.all([leader.putPreset(otherPreset, deadline), clock.advanceBy(10)]);
    const newRevision = { ...change, basedOn: 1, preset, changeId: 'c-4' };
    await Promise.all([leader.putPreset(newRevision, deadline), clock.advanceBy(10)]);

    expect(await watched).toMatchObject({ groupId: 'group', revision: 4, name: 'ordinary' });
    expect(clock.now()).toBeLessThan(deadline);
    await stopService();
  });

  it('should resolve a watch with undefined at its deadline', async () => {
    const { clock, leader, putAndUse } = createServices();
    await putAndUse();
    const watched = leader.watchState(2, clock.now() + 1000);
    await clock.advanceBy(1000);

    expect(await watched).toBeUndefined();
  });

  // Guards against a stale read that a restarted entry host would accept as confirmed.
  it('should confirm the state and list, show and select presets only at the leader', async () => {
    const { clock, leader, follower, settle, putAndUse } = createServices();
    await putAndUse();
    const deadline = clock.now() + 1000;

    expect(await settle(leader.confirmState(deadline))).toMatchObject({ value: { revision: 2 } });
    expect(await settle(leader.listPresets(deadline))).toMatchObject({
      value: { presets: [{ name: 'ordinary', revision: 1 }], activeRevision: 2 },
    });
    const refusals = await Promise.all([
      follower.confirmState(deadline),
      follower.listPresets(deadline),
      follower.showPreset('ordinary', deadline),
      follower.usePreset({ ...change, changeId: 'c-5' }, deadline),
    ]);
    refusals.forEach((refusal) =>
      expect(refusal).toMatchObject({ failure: { kind: 'not_leader', leader: 'control-1' } }),
    );
  });
});
