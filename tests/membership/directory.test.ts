import { describe, expect, it } from 'vitest';

import { checkHostRecord, checkUpstreamRecord } from '../../src/adapters/trpc/gossipMessages.ts';
import AnnouncementService from '../../src/application/membership/AnnouncementService.ts';
import type { Announcement } from '../../src/application/membership/AnnouncementService.ts';
import HostDirectory from '../../src/domain/membership/HostDirectory.ts';
import UpstreamDirectory from '../../src/domain/membership/UpstreamDirectory.ts';
import type UpstreamRecord from '../../src/domain/membership/UpstreamRecord.ts';
import { createAnnouncement } from '../fixtures/FakeFleet.ts';
import FakeClock from '../fixtures/FakeClock.ts';

const start = 1_800_000_000_000;

function createRecord(changes: Partial<UpstreamRecord> = {}): UpstreamRecord {
  const { leaseMs, ...fields } = createAnnouncement();
  return { ...fields, servingSince: start, leaseDeadline: start + leaseMs, ...changes };
}

const createDirectory = () => new UpstreamDirectory({ checkRecord: checkUpstreamRecord });

describe('UpstreamDirectory', () => {
  // Guards against a dropped upstream that a peer adds again with a lease longer than allowed.
  it('should not accept a dropped record again from a peer that has not dropped it', () => {
    const directory = createDirectory();
    const record = createRecord({ leaseDeadline: start + 1000 * 60_000 });
    directory.mergeRecords([record], start);
    directory.dropExpired(start + 60_000);

    directory.mergeRecords([record], start + 60_001);

    expect(directory.listServing('history', start + 60_001)).toEqual([]);
    expect(directory.listVersions()).toEqual({ 'history/a': [1, 0, 1] });
  });

  // Guards against a host with an incorrect clock that keeps a record forever.
  it('should shorten a lease of more than 60 s to 60 s', () => {
    const directory = createDirectory();

    directory.mergeRecords([createRecord({ leaseDeadline: start + 3_600_000 })], start);

    expect(directory.getRecord('history/a')?.leaseDeadline).toBe(start + 60_000);
  });

  // Guards against a restarted upstream that counts as stale because its sequence restarted.
  it('should accept a lower sequence of a higher incarnation', () => {
    const directory = createDirectory();
    directory.mergeRecords([createRecord({ sequence: 90, state: 'leaving' })], start);

    directory.mergeRecords([createRecord({ incarnation: 2, sequence: 1 })], start);

    expect(directory.listServing('history', start)).toHaveLength(1);
  });

  // Guards against a drain that is undone by a later announcement at another host: a drained
  // upstream must receive no requests until it restarts.
  it('should converge on leaving when hosts have different states of one incarnation', () => {
    const [left, right] = [createDirectory(), createDirectory()];
    left.mergeRecords([createRecord({ sequence: 5, state: 'leaving' })], start);
    right.mergeRecords([createRecord({ sequence: 6 })], start);

    right.mergeRecords(left.listNewer(right.listVersions()), start);
    left.mergeRecords(right.listNewer(left.listVersions()), start);

    expect(left.listServing('history', start)).toEqual([]);
    expect(right.listServing('history', start)).toEqual([]);
  });

  // Guards against an older record that is used again because the newer one has expired.
  it('should drop a record when a newer but expired one arrives', () => {
    const directory = createDirectory();
    directory.mergeRecords([createRecord()], start);

    directory.mergeRecords([createRecord({ sequence: 2, leaseDeadline: start })], start + 1);

    expect(directory.listServing('history', start + 1)).toEqual([]);
  });

  // Guards against a lease that expires and then becomes valid again when the host detects that it
  // is partitioned. Found with FUZZ_SEED=1, run 66. The expiry limit is 3 s after the last contact
  // with a peer.
  it('should keep a record whose lease expires after the expiry limit, until the limit moves', () => {
    const directory = createDirectory();
    directory.mergeRecords([createRecord({ leaseDeadline: start + 5100 })], start);
    directory.mergeRecords([createRecord({ upstream: 'b', leaseDeadline: start + 4900 })], start);
    const listNames = (now: number) =>
      directory.listServing('history', now).map(({ upstream }) => upstream);

    directory.setExpiryLimit(start + 5000);

    expect(listNames(start + 4899)).toEqual(['a', 'b']);
    expect(listNames(start + 5200)).toEqual(['a']);
    directory.dropExpired(start + 60_000);
    expect(listNames(start + 60_000)).toEqual(['a']);
    directory.setExpiryLimit(start + 63_000);
    expect(listNames(start + 60_000)).toEqual([]);
  });

  // Guards against a peer whose malformed records make the directory fail.
  it('should count and ignore malformed records and keep the others', () => {
    const directory = createDirectory();
    const hosts = new HostDirectory({ checkRecord: checkHostRecord });
    const invalidFields = [{ state: 'gone' }, { sequence: -1 }, { address: 'a.example:80' }];
    const invalidRecords = invalidFields.map((fields) => ({
      ...createRecord({ upstream: 'b' }),
      ...fields,
    }));
    const malformedRecords = [
      null,
      7,
      'x',
      [],
      {},
      { ...createRecord(), leaseDeadline: '1' },
      ...invalidRecords,
    ];

    directory.mergeRecords([...malformedRecords, createRecord()], start);
    hosts.mergeRecords([...malformedRecords, createRecord()], start);

    expect(directory.malformedCount).toBe(malformedRecords.length);
    expect(directory.listRecords(start)).toHaveLength(1);
    expect(hosts.malformedCount).toBe(malformedRecords.length + 1);
  });

  // Guards against an index by service that keeps replaced, dropped or expired records.
  it('should list the current upstreams of one service', () => {
    const directory = createDirectory();
    const put = (changes: Partial<UpstreamRecord>) =>
      directory.mergeRecords([createRecord(changes)], start);
    put({ upstream: 'a' });
    put({ upstream: 'b', leaseDeadline: start + 500 });
    put({ service: 'kilns', upstream: 'a' });
    put({ upstream: 'a', sequence: 2, state: 'leaving' });
    const listNames = (service: string, now: number) =>
      directory.listUpstreams(service, now).map(({ upstream, state }) => `${upstream} ${state}`);

    expect(listNames('history', start)).toEqual(['a leaving', 'b serving']);
    directory.dropExpired(start + 500);
    expect(listNames('history', start)).toEqual(['a leaving']);
    put({ upstream: 'a', sequence: 3, state: 'leaving', leaseDeadline: start });
    expect(listNames('history', start)).toEqual([]);
    expect(listNames('kilns', start)).toEqual(['a serving']);
  });

  // Guards against a change log that loses a change when it is truncated.
  it('should list only the records that changed since a given time, also after many changes', () => {
    const directory = createDirectory();
    Array.from({ length: 5000 }, (_, index) =>
      directory.mergeRecords(
        [createRecord({ upstream: `u${index % 7}`, sequence: index })],
        start + index,
      ),
    );
    directory.mergeRecords([createRecord({ upstream: 'b', leaseDeadline: 0 })], start + 4999);

    const changed = directory.listVersions(start, start + 4997);
    const newer = directory.listNewer({ 'history/u2': [1, 0, 0] }, start, start + 4997);

    const keys = ['history/b', 'history/u0', 'history/u1', 'history/u6'];
    expect(Object.keys(changed).sort()).toEqual(keys);
    expect(newer.map(({ sequence }) => sequence).sort()).toEqual([4993, 4997, 4998, 4999]);
  });

  // Guards against digest keys that are read as inherited properties of the object.
  it('should send a host record whose key is the name of an inherited property', () => {
    const hosts = new HostDirectory({ checkRecord: checkHostRecord });
    const record = {
      ...{ host: 'constructor', role: 'entry', peerAddress: '127.0.0.1:1', failureDomain: 'a' },
      ...{ incarnation: 1, sequence: 1, state: 'ready', revision: 0, presetName: '' },
      leaseDeadline: start + 1000,
    };
    hosts.mergeRecords([record], start);

    expect(hosts.listNewer({})).toHaveLength(1);
  });
});

describe('AnnouncementService', () => {
  const clock = new FakeClock(start);
  const createService = () => {
    const upstreams = createDirectory();
    const service = new AnnouncementService({ clock, upstreams, exchangeNow: () => undefined });
    const accept = (changes: Partial<Announcement>) => {
      const result = service.acceptAnnouncement(createAnnouncement(changes));
      return result.ok ? 'accepted' : result.failure.kind;
    };
    return { upstreams, accept };
  };

  // Guards against a delayed announcement that overrides a newer one.
  it('should refuse an older sequence, an older incarnation and a serving state after leaving', () => {
    const { accept } = createService();

    expect(accept({ sequence: 5 })).toBe('accepted');
    expect(accept({ sequence: 4 })).toBe('announcement_stale');
    expect(accept({ sequence: 6, state: 'leaving' })).toBe('accepted');
    expect(accept({ sequence: 7 })).toBe('announcement_stale');
    expect(accept({ incarnation: 0, sequence: 9 })).toBe('announcement_stale');
    expect(accept({ incarnation: 2, sequence: 1 })).toBe('accepted');
  });

  // Guards against refusing a resent announcement, and against renewing the lease each time it is
  // resent.
  it('should accept a resent announcement without renewing its lease until the record is dropped', async () => {
    const { accept, upstreams } = createService();
    accept({});
    const first = upstreams.getRecord('history/a')?.leaseDeadline;
    await clock.advanceBy(1000);

    expect(accept({})).toBe('accepted');
    expect(upstreams.getRecord('history/a')?.leaseDeadline).toBe(first);
    upstreams.dropExpired(clock.now() + 60_000);
    expect(accept({})).toBe('announcement_stale');
  });

  // Guards against a host that missed a drain and still has a serving record with a longer lease.
  it('should keep a leaving record as long as the longest serving lease', () => {
    const { accept, upstreams } = createService();
    accept({ leaseMs: 60_000 });

    accept({ sequence: 2, state: 'leaving', leaseMs: 1000 });

    expect(upstreams.getRecord('history/a')?.leaseDeadline).toBe(clock.now() + 60_000);
  });
});
