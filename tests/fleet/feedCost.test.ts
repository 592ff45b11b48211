import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import FeedService from '../../src/application/fleet/FeedService.ts';
import FleetView from '../../src/application/fleet/FleetView.ts';
import UpstreamRegistry from '../../src/domain/membership/UpstreamRegistry.ts';
import type { FeedAnswer } from '../../src/ports/FleetLink.ts';
import createRegistration from '../fixtures/createRegistration.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const controlHost = { address: 'c1:1', operatorsAddress: 'c1:2', failureDomain: 'north' };

describe('FeedService with many entry hosts', () => {
  let clock: FakeClock;
  let stopping: AbortController;
  let registry: UpstreamRegistry;
  let feed: FeedService;
  /** Times that the list of control hosts was read, which is once for each fingerprint of hosts. */
  let fingerprints: number;
  let answers: FeedAnswer[];
  let log: { groupId: string; appliedIndex: number; isCurrent: boolean; isEmptyJoiner: boolean };

  beforeEach(() => {
    clock = new FakeClock();
    stopping = new AbortController();
    registry = new UpstreamRegistry();
    fingerprints = 0;
    answers = [];
    log = { groupId: 'group', appliedIndex: 1, isCurrent: true, isEmptyJoiner: false };
    feed = new FeedService({
      clock,
      log: Object.assign(log, {
        waitApplied: async (afterIndex: number, deadline: number) => {
          while (log.appliedIndex <= afterIndex && clock.now() < deadline) {
            await clock.sleepUntil(Math.min(deadline, clock.now() + 10));
          }
        },
      }),
      state: { numberedPreset: undefined, registry },
      listControlHosts: () => {
        fingerprints += 1;
        return [controlHost];
      },
    });
    feed.run(stopping.signal).catch(() => undefined);
  });

  afterEach(async () => {
    stopping.abort();
    await clock.advanceBy(3000);
  });

  /** Follows the feed as an entry host until the test ends. */
  async function follow(host: string): Promise<void> {
    let position = 0;
    let hostsVersion = '';
    while (!stopping.signal.aborted) {
      const answer = await feed.handleFeed({
        entryHost: { host, address: `${host}:1`, failureDomain: 'north' },
        groupId: 'group',
        position,
        presetNumber: 1,
        hostsVersion,
        wantsHostsOnly: false,
        waitMs: 1200,
        waitsUntilCurrent: false,
      });
      answers.push(answer);
      ({ position } = answer);
      hostsVersion = answer.hosts?.version ?? hostsVersion;
    }
  }

  async function startHosts(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      follow(`n${index}`).catch(() => undefined);
      await clock.advanceBy(5);
    }
    await clock.advanceBy(2000);
  }

  // At the start of the large deployment, each host that appeared woke all others, each got the
  // whole list again, and each answer hashed all hosts: the work grew with the third power.
  it.each([20, 60, 120])('should send few lists while %s hosts start', async (hosts) => {
    await startHosts(hosts);

    const lists = answers.flatMap((answer) => (answer.hosts ? [answer.hosts] : []));
    expect(lists.at(-1)?.entryHosts).toHaveLength(hosts);
    // A list is sent to all hosts at most four times a second, for the time of the start.
    expect(lists.length).toBeLessThanOrEqual(hosts * (2 + (4 * 5 * hosts) / 1000));
    expect(fingerprints).toBeLessThan(60);
  });

  it('should hash no list for a change that concerns no host', async () => {
    await startHosts(60);
    await clock.advanceBy(500);
    const fingerprintsBefore = fingerprints;
    const answersBefore = answers.length;
    registry.applyRegistration(createRegistration({ sequence: 1 }), 'c1', 2);
    log.appliedIndex = 2;
    await clock.advanceBy(30);

    expect(answers.length - answersBefore).toBe(60);
    expect(fingerprints - fingerprintsBefore).toBeLessThan(2);
  });

  // Guards against control hosts that answer all entry hosts for each of many changes, so that
  // votes and presets wait (420 upstreams that announce themselves at the same time).
  it('should answer few times while many upstreams register', async () => {
    await startHosts(60);
    await clock.advanceBy(500);
    const answersBefore = answers.length;
    const upstreams = 420;

    for (let index = 0; index < upstreams; index += 1) {
      const upstream = { upstream: `u${index}`, address: `10.0.${index % 250}.1:${index}` };
      registry.applyRegistration(createRegistration(upstream), 'c1', index + 2);
      log.appliedIndex = index + 2;
      await clock.advanceBy(2);
    }
    await clock.advanceBy(250);

    // Five times a second, and one more at the start and at the end.
    const rounds = 2 + (5 * 2 * upstreams) / 1000;
    expect(answers.length - answersBefore).toBeLessThanOrEqual(60 * rounds);
    expect(answers.at(-1)?.position).toBe(log.appliedIndex);
  });

  it('should answer nobody when upstreams only change their control host', async () => {
    registry.applyRegistration(createRegistration({ sequence: 1 }), 'c1', 2);
    log.appliedIndex = 2;
    await startHosts(60);
    await clock.advanceBy(1500);
    const recordsSent = (): number =>
      answers.reduce((sum, { upstreams }) => sum + upstreams.records.length, 0);
    const [answersBefore, recordsBefore] = [answers.length, recordsSent()];

    registry.applyRegistration(createRegistration({ sequence: 2 }), 'c2', 3);
    log.appliedIndex = 3;
    await clock.advanceBy(100);

    expect(registry.findUpstream('u1')?.keeper).toBe('c2');
    expect(recordsSent()).toBe(recordsBefore);
    // Only the waits that end in the meantime, of 1.2 s each.
    expect(answers.length - answersBefore).toBeLessThanOrEqual(20);
  });

  it('should tell all hosts of a host that appears, soon', async () => {
    await startHosts(20);
    const answersBefore = answers.length;
    follow('late').catch(() => undefined);
    await clock.advanceBy(600);

    const lists = answers
      .slice(answersBefore)
      .flatMap(({ hosts }) => (hosts ? [hosts.entryHosts.map(({ host }) => host)] : []));
    expect(lists.filter((names) => names.includes('late')).length).toBeGreaterThanOrEqual(20);
  });
});

describe('FleetView with many upstreams', () => {
  // Each changed record rebuilt the lists of all services, and each choice made a list of its own.
  it('should keep the list of a service until one of its upstreams changes', () => {
    const clock = new FakeClock();
    const view = new FleetView({
      clock,
      log: new SilentLog(),
      codec: {
        decodePreset: () => ({ ok: false, failure: { kind: 'preset_invalid', message: '' } }),
      },
      onPreset: () => undefined,
    });
    const apply = (position: number, changes: Parameters<typeof createRegistration>[0]): void => {
      const registry = new UpstreamRegistry();
      registry.applyRegistration(createRegistration(changes), 'c1', position);
      view.applyAnswer({
        ...{ isCurrent: true, groupId: 'group', position, preset: undefined, hosts: undefined },
        upstreams: { isWhole: false, records: registry.listRecords() },
      });
    };
    apply(1, { upstream: 'k1', service: 'kilns', address: '10.0.0.1:1' });
    apply(2, { upstream: 'h1', service: 'history', address: '10.0.0.2:1', warmMs: 1000 });
    const kilns = view.listUsable('kilns');
    const history = view.listUsable('history');
    apply(3, { upstream: 'h2', service: 'history', address: '10.0.0.3:1' });

    expect(view.listUsable('kilns')).toBe(kilns);
    expect(view.listUsable('history').map(({ record }) => record.upstream)).toEqual(['h1', 'h2']);
    expect(history[0]?.weight).toBe(0.5);
    clock.jumpTo(clock.now() + 1001);
    expect(view.listUsable('history').map(({ weight }) => weight)).toEqual([1, 1]);
    apply(4, { upstream: 'h1', service: 'kilns', address: '10.0.0.2:1', sequence: 9 });
    expect(view.listUsable('history').map(({ record }) => record.upstream)).toEqual(['h2']);
    expect(view.listUsable('kilns').map(({ record }) => record.upstream)).toEqual(['k1', 'h1']);
  });
});
