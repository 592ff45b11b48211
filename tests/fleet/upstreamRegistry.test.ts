import { describe, expect, it } from 'vitest';

import UpstreamRegistry from '../../src/domain/membership/UpstreamRegistry.ts';
import createRegistration from '../fixtures/createRegistration.ts';

function createRegistry(): UpstreamRegistry {
  const registry = new UpstreamRegistry();
  registry.applyRegistration(createRegistration(), 'c1', 1);
  return registry;
}

function listStates(registry: UpstreamRegistry): string[] {
  return registry.listUpstreams().map(({ upstream, state }) => `${upstream} ${state}`);
}

describe('UpstreamRegistry', () => {
  // Guards against a Raft commit, and so traffic between failure domains, for each announcement.
  it('should report a later announcement with the same content as unchanged', () => {
    const registry = createRegistry();

    const result = registry.checkRegistration(createRegistration({ sequence: 9 }), 'c1');

    expect(result).toBe('unchanged');
  });

  // Guards against a delayed announcement that returns a leaving upstream to service.
  it.each([
    ['an earlier announcement', { sequence: 3, state: 'serving' }],
    ['a later announcement of the state serving', { sequence: 6, state: 'serving' }],
  ] as const)('should keep an upstream leaving after %s', (_title, changes) => {
    const registry = createRegistry();
    registry.applyRegistration(createRegistration({ state: 'leaving', sequence: 5 }), 'c1', 2);

    registry.applyRegistration(createRegistration(changes), 'c1', 3);

    expect(listStates(registry)).toEqual(['u1 leaving']);
  });

  it('should ignore a removed process and accept a new one under the same upstream name', () => {
    const registry = createRegistry();
    registry.applyRemoval({ upstream: 'u1', bornAt: 1000, state: 'gone' }, 2);

    registry.applyRegistration(createRegistration({ sequence: 50 }), 'c1', 3);
    const before = listStates(registry);
    registry.applyRegistration(createRegistration({ bornAt: 2000 }), 'c1', 4);

    expect(before).toEqual([]);
    expect(listStates(registry)).toEqual(['u1 serving']);
  });

  it('should return a silent upstream to service on its next announcement', () => {
    const registry = createRegistry();
    registry.applyRemoval({ upstream: 'u1', bornAt: 1000, state: 'silent' }, 2);

    registry.applyRegistration(createRegistration({ sequence: 7 }), 'c2', 3);

    expect(listStates(registry)).toEqual(['u1 serving']);
  });

  // Guards against a message of another writer that names the address of a live upstream. Which of
  // the two has stopped shows by its announcements: tests/fleet/registrationService.test.ts.
  it('should keep two upstreams with the same address and list both as contested', () => {
    const registry = createRegistry();
    registry.applyRegistration(createRegistration({ upstream: 'u2', bornAt: 2000 }), 'c1', 2);
    registry.applyRegistration(createRegistration({ upstream: 'u3', address: 'b:1' }), 'c1', 3);

    const contested = registry.listContested().map(({ upstream }) => upstream);
    const later = registry.checkRegistration(createRegistration({ sequence: 2 }), 'c1');
    registry.applyRemoval({ upstream: 'u1', bornAt: 1000, state: 'silent' }, 4);

    expect(contested).toEqual(['u1', 'u2']);
    expect(later).toBe('unchanged');
    expect(registry.listContested()).toEqual([]);
  });

  it('should list only the changes after an index, including removals', () => {
    const registry = createRegistry();
    registry.applyRegistration(createRegistration({ upstream: 'u2', address: 'b:1' }), 'c1', 2);
    registry.applyRemoval({ upstream: 'u1', bornAt: 1000, state: 'gone' }, 3);

    const { isWhole, records } = registry.listChanges(2);

    expect(isWhole).toBe(false);
    expect(records.map(({ upstream, state }) => `${upstream} ${state}`)).toEqual(['u1 gone']);
  });

  // Guards against a lagging host that never receives a removal because the registry pruned it.
  it('should list all records for an index before the oldest kept removal', () => {
    const registry = createRegistry();
    Array.from({ length: 1002 }, (_, index) => {
      const upstream = `gone${index}`;
      const address = `10.1.0.1:${index}`;
      registry.applyRegistration(createRegistration({ upstream, address }), 'c1', 2 + 2 * index);
      registry.applyRemoval({ upstream, bornAt: 1000, state: 'gone' }, 3 + 2 * index);
      return upstream;
    });

    expect(registry.listChanges(3).isWhole).toBe(true);
    expect(registry.listChanges(1000).isWhole).toBe(false);
    expect(registry.listRecords()).toHaveLength(1001);
  });

  // Guards against a registry that grows with each upstream that ever crashed.
  it('should keep a bounded number of upstreams that fell silent', () => {
    const registry = createRegistry();
    Array.from({ length: 1002 }, (_, index) => `silent${index}`).forEach((upstream, index) => {
      registry.applyRegistration(createRegistration({ upstream }), 'c1', 2 + 2 * index);
      registry.applyRemoval({ upstream, bornAt: 1000, state: 'silent' }, 3 + 2 * index);
    });

    registry.applyRegistration(
      createRegistration({ upstream: 'silent0', sequence: 9 }),
      'c1',
      4000,
    );

    expect(registry.listRecords()).toHaveLength(1002);
    expect(registry.findUpstream('silent0')?.state).toBe('serving');
  });
});
