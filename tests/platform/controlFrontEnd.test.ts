import { fetch } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import ControlFrontEnd from '../../platform/ControlFrontEnd.ts';
import PlatformPresetCodec from '../../platform/PlatformPresetCodec.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import { maxCommandBytes } from '../../src/application/replication/Replica.ts';
import CommandForwarder from '../../src/application/fleet/CommandForwarder.ts';
import NumberedPresetService from '../../src/application/fleet/NumberedPresetService.ts';
import RegistrationService from '../../src/application/fleet/RegistrationService.ts';
import type CommandLog from '../../src/application/replication/CommandLog.ts';
import type ControlCommand from '../../src/domain/control/ControlCommand.ts';
import type { ControlReply } from '../../src/domain/control/ControlCommand.ts';
import ControlStateMachine from '../../src/domain/control/ControlStateMachine.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const announcement = {
  service: 'kilns',
  address: '10.0.0.1:8080',
  zone: 'north',
  version: 'v1',
  slots: 4,
  state: 'ready',
  warmupLeft: '0ms',
  sequence: 4,
};

function createDocument(version: number): string {
  const limits = {
    maxHeaderBytes: 1000,
    maxBodyBytes: 1000,
    headerTimeout: '3s',
    idleTimeout: '15s',
  };
  return JSON.stringify({ version, routes: [], services: [{ name: 'kilns' }], limits });
}

describe("platform's calls to a control host", () => {
  const state = new ControlStateMachine({ parseSnapshot: () => ({}) as never });
  let frontEnd: ControlFrontEnd;
  let origin: string;
  let leadership: 'leading' | 'following' | 'without a majority';
  let commands: ControlCommand[];

  beforeEach(async () => {
    leadership = 'leading';
    commands = [];
    const clock = new SystemClock();
    const log = new SilentLog();
    const failure = () =>
      leadership === 'following'
        ? ({ kind: 'not_leader', message: 'follows', leader: 'c2' } as const)
        : ({ kind: 'no_quorum', message: 'no majority' } as const);
    const commandLog: CommandLog<ControlCommand, ControlReply> = {
      groupId: 'group',
      leader: 'c1',
      appliedIndex: 0,
      proposeCommand: async (command) => {
        if (leadership !== 'leading') return { ok: false, failure: failure() };
        commands.push(command);
        const index = commands.length;
        const reply = state.applyCommand(command, { index, term: 1, proposedAt: 0 });
        return { ok: true, value: reply };
      },
      confirmRead: async () =>
        leadership === 'leading'
          ? { ok: true, value: undefined }
          : { ok: false, failure: failure() },
      waitApplied: async () => undefined,
    };
    const forwarder = new CommandForwarder({
      clock,
      log: commandLog,
      ownAddress: 'c1',
      openLink: () => {
        throw new Error('this host leads');
      },
    });
    frontEnd = new ControlFrontEnd({
      clock,
      log,
      codec: new PlatformPresetCodec({ retryShare: 0 }),
      presets: new NumberedPresetService({ clock, log, commandLog, state }),
      registrations: new RegistrationService({
        clock,
        log,
        replica: { role: 'leader', appliedIndex: 0, isCurrent: true },
        registry: state.registry,
        forwarder,
        ownAddress: 'c1',
        isKnownHost: () => true,
        checkService: (service) => {
          if (!state.numberedPreset) return 'undecided';
          return service === 'kilns' ? 'known' : 'unknown';
        },
        silenceMs: 1000,
      }),
      findLeaderAddress: () => '10.0.0.9:80',
      findAnnouncementAddress: (domain) => (domain === 'north' ? '10.0.0.8:80' : undefined),
    });
    await frontEnd.openListener({ ip: '127.0.0.1', port: 0 });
    origin = `http://127.0.0.1:${frontEnd.address.port}/pistachiohoist`;
  });

  afterEach(() => frontEnd.closeListener());

  const put = (path: string, body: string) =>
    fetch(`${origin}${path}`, { method: 'PUT', body, redirect: 'manual' });

  // Guards against a host that has just started and has no configuration yet: it must not refuse an
  // upstream permanently, as it refuses one of an unknown service.
  it('should answer 503 to an announcement before there is a configuration', async () => {
    const refused = await put('/instances/i-1', JSON.stringify(announcement));

    expect(refused.status).toBe(503);
  });

  it('should make a configuration active and return it exactly as it was sent', async () => {
    const accepted = await put('/config', createDocument(7));
    const read = await fetch(`${origin}/config`);

    expect(accepted.status).toBe(200);
    expect(await read.text()).toBe(createDocument(7));
  });

  it('should acknowledge a configuration older than the active one and change nothing', async () => {
    const older = await put('/config', createDocument(3));

    expect(older.status).toBe(200);
    expect(commands).toEqual([]);
    expect(state.numberedPreset?.number).toBe(7);
  });

  it('should refuse an invalid configuration and keep the active one', async () => {
    const refused = await put('/config', createDocument(9).slice(0, -9));

    expect(refused.status).toBe(400);
    expect(state.numberedPreset?.number).toBe(7);
  });

  it('should redirect operators to the leader', async () => {
    leadership = 'following';

    const accepted = await put('/config', createDocument(8));
    const read = await fetch(`${origin}/config`, { redirect: 'manual' });

    expect([accepted.status, read.status]).toEqual([307, 307]);
    expect(read.headers.get('location')).toBe('http://10.0.0.9:80/pistachiohoist/config');
  });

  // Guards against an answer from a host that may lack committed changes.
  it('should answer 503 to operators when the control group has no majority', async () => {
    leadership = 'without a majority';

    const accepted = await put('/config', createDocument(8));
    const read = await fetch(`${origin}/config`);

    expect([accepted.status, read.status]).toEqual([503, 503]);
  });

  it('should register an upstream and return the address for its next announcement', async () => {
    const accepted = await put('/instances/i-1', JSON.stringify(announcement));

    expect(accepted.status).toBe(200);
    expect(await accepted.json()).toEqual({
      heartbeatUri: 'http://10.0.0.8:80/pistachiohoist/instances/i-1',
    });
    expect(state.registry.findUpstream('i-1')?.state).toBe('serving');
  });

  it('should not commit an announcement that repeats the registered values', async () => {
    await put('/instances/i-1', JSON.stringify({ ...announcement, sequence: 5 }));

    expect(commands).toEqual([]);
  });

  it('should answer 503 and keep the upstream when its deregistration is not committed', async () => {
    leadership = 'without a majority';

    const refused = await fetch(`${origin}/instances/i-1`, { method: 'DELETE' });

    expect(refused.status).toBe(503);
    expect(state.registry.findUpstream('i-1')?.state).toBe('serving');
  });

  // Guards against a message of another writer that removes a live upstream.
  it('should refuse a deregistration that cannot be read and keep the upstream', async () => {
    const call = { method: 'DELETE', body: '{"born":' };

    const refused = await fetch(`${origin}/instances/i-1`, call);

    expect(refused.status).toBe(400);
    expect(state.registry.findUpstream('i-1')?.state).toBe('serving');
  });

  it('should remove an upstream that deregisters', async () => {
    const accepted = await fetch(`${origin}/instances/i-1`, { method: 'DELETE' });

    expect(accepted.status).toBe(200);
    expect(state.registry.listUpstreams()).toEqual([]);
  });

  it.each([
    ['a service that the configuration does not name', '/instances/i-2', { service: 'other' }, 400],
    ['a field of another type', '/instances/i-2', { slots: 'four' }, 400],
    ['a missing field', '/instances/i-2', { version: undefined }, 400],
    ['an unknown path', '/elsewhere', {}, 404],
  ])('should refuse an announcement with %s', async (_title, path, changes, status) => {
    const refused = await put(path, JSON.stringify({ ...announcement, ...changes }));

    expect(refused.status).toBe(status);
    expect(state.registry.findUpstream('i-2')).toBeUndefined();
  });

  // Guards against limits that a configuration of the expected future size exceeds.
  it('should accept a configuration of 28,000 teams and 5,000 routes', async () => {
    const routes = Array.from({ length: 5000 }, (_, index) => ({
      ...{ host: 'a.example', pathPrefix: `/look/${index}/`, kind: 'safe', service: 'kilns' },
      ...{ timeout: '20s', maxAttempts: 2, objective: '2.1s', priority: 1 },
    }));
    const tenants = Array.from({ length: 28_000 }, (_, index) => ({
      ...{ name: `team-${index}`, apiKeys: [`key-${index}-0123456789abcdef`] },
      ...{ priority: 1, ratePerS: 2.5, burst: 4 },
    }));
    const accepted = await put(
      '/config',
      JSON.stringify({ ...JSON.parse(createDocument(100)), routes, tenants }),
    );

    expect(accepted.status).toBe(200);
    expect(JSON.stringify(commands).length).toBeLessThan(maxCommandBytes);
  });
});
