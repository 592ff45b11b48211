import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import fleetTimes from '../../src/daemon/fleetTimes.ts';
import type MemoryDisk from '../fixtures/MemoryDisk.ts';
import ReplicaGroupFixture from '../fixtures/ReplicaGroupFixture.ts';

// A change is acknowledged within this time.
const ackMs = 4000;
// A process that ended is started again after this time.
const restartMs = 300;
const stepMs = 100;
const founders = ['a', 'b', 'c'];
const hosts = [...founders, 'd', 'e'];

/** A disk that takes no more bytes for a time. */
interface FullDisk {
  readonly host: string;
  readonly fullMs: number;
  /** Bytes of the next write that still fit. */
  readonly freeBytes: number;
  /** Time until the next disk is full. */
  readonly gapMs: number;
}

/** A disk that refuses for longer than a voter may stay silent. */
interface RefusingDisk {
  readonly host: string;
  readonly refusedMs: number;
  readonly faults: Pick<MemoryDisk, 'errorCode' | 'freeBytes' | 'failingSyncs'>;
}

const noFaults = { errorCode: undefined, freeBytes: undefined, failingSyncs: 0 };

/** A control group whose ended processes are started again, as the platform does. */
class SupervisedGroup {
  readonly group: ReplicaGroupFixture;

  private readonly startAt = new Map<string, number>();

  private changes = 0;

  /** Hosts whose processes ended by themselves. */
  readonly ended = new Set<string>();

  constructor(seed: number) {
    this.group = new ReplicaGroupFixture({
      ...{ hosts: founders, joining: hosts, seed, snapshotEntries: 8 },
      times: fleetTimes,
    });
  }

  async start(): Promise<void> {
    await this.group.startAll();
    await this.group.commit('first');
    for (const host of hosts) await this.startHost(host);
    await this.waitVoters();
  }

  /** Advances the clock and starts processes that have ended. */
  async advance(ms: number): Promise<void> {
    const { clock, running } = this.group;
    const until = clock.now() + ms;
    while (clock.now() < until) {
      await clock.advanceBy(stepMs);
      hosts
        .filter((host) => running.get(host)?.hasStopped ?? true)
        .forEach((host) => {
          this.ended.add(host);
          if (!this.startAt.has(host)) this.startAt.set(host, clock.now() + restartMs);
        });
      const due = hosts.filter((host) => (this.startAt.get(host) ?? Infinity) <= clock.now());
      for (const host of due) {
        this.startAt.delete(host);
        await this.startHost(host);
      }
    }
  }

  /** Sends a change to leaders until it is acknowledged; returns how long that took. */
  async measureChange(): Promise<number> {
    const { clock } = this.group;
    const startedAt = clock.now();
    const change = { isAcknowledged: false };
    while (!change.isAcknowledged && clock.now() < startedAt + 10 * ackMs) {
      this.proposeChange(change);
      const waitUntil = clock.now() + 1000;
      while (!change.isAcknowledged && clock.now() < waitUntil) await this.advance(stepMs);
    }
    return clock.now() - startedAt;
  }

  /** Plays a full disk, while changes are sent all the time. */
  async fillDisk({ host, fullMs, freeBytes, gapMs }: FullDisk): Promise<void> {
    const { clock } = this.group;
    const disk = this.group.getDisk(host);
    disk.freeBytes = freeBytes;
    const emptyAt = clock.now() + fullMs;
    while (clock.now() < emptyAt) {
      this.proposeChange({ isAcknowledged: false });
      await this.advance(Math.min(stepMs, emptyAt - clock.now()));
    }
    disk.freeBytes = undefined;
    await this.advance(gapMs);
  }

  /** Plays a disk that refuses; returns the longest time that a change took meanwhile. */
  async refuseDisk({ host, refusedMs, faults }: RefusingDisk): Promise<number> {
    const { clock } = this.group;
    const disk = Object.assign(this.group.getDisk(host), faults);
    const endsAt = clock.now() + refusedMs;
    const times: number[] = [];
    while (clock.now() < endsAt) {
      times.push(await this.measureChange());
      await this.advance(1000);
    }
    Object.assign(disk, noFaults);
    return Math.max(...times);
  }

  /** Waits until all hosts are voters again and have applied the same changes. */
  async waitVoters(): Promise<void> {
    const deadline = this.group.clock.now() + 30_000;
    while (!this.areAllVoters()) {
      if (this.group.clock.now() >= deadline) throw new Error('not all hosts became voters');
      await this.advance(stepMs);
    }
  }

  /** Sends a change to the leader, if there is one, and marks it once it is acknowledged. */
  private proposeChange(change: { isAcknowledged: boolean }): void {
    const leader = this.group.findLeader();
    if (!leader) return;
    this.changes += 1;
    const proposing = this.group.propose(leader, `x${this.changes}`, 1000).then(({ ok }) => {
      if (ok) Object.assign(change, { isAcknowledged: true });
    });
    proposing.catch(() => undefined);
  }

  private areAllVoters(): boolean {
    const leader = this.group.findLeader();
    const voters = leader?.replica.configuration.voters.map(({ host }) => host).sort() ?? [];
    const lengths = new Set(hosts.map((host) => this.group.running.get(host)?.state.ids.length));
    return voters.join() === hosts.join() && lengths.size === 1;
  }

  private async startHost(host: string): Promise<void> {
    const { group } = this;
    if (group.running.get(host)?.hasStopped) group.running.delete(host);
    if (group.running.has(host)) return;
    // A start fails while the disk is full.
    await group.run(group.startJoining(host)).catch(() => undefined);
    if (!group.running.has(host)) return;
    hosts
      .filter((other) => other !== host && group.running.has(other))
      .forEach((other) => {
        group.addLink(other, host);
        group.addLink(host, other);
      });
  }
}

const fullDisk: fc.Arbitrary<FullDisk> = fc.record({
  host: fc.constantFrom(...hosts),
  fullMs: fc.integer({ min: 500, max: 5000 }),
  freeBytes: fc.integer({ min: 0, max: 300 }),
  gapMs: fc.integer({ min: 2500, max: 5000 }),
});

describe('control group with full disks, one after another', () => {
  // Guards against changes that stay unanswered for good after every disk has room again.
  it('should acknowledge changes in time again, in any order of the hosts', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fullDisk, { minLength: 5, maxLength: 8 }),
        fc.nat(),
        async (disks, seed) => {
          const supervised = new SupervisedGroup(seed);
          await supervised.start();
          for (const disk of disks) await supervised.fillDisk(disk);

          expect(await supervised.measureChange()).toBeLessThanOrEqual(ackMs);
          await supervised.waitVoters();
          await supervised.group.stopAll();
        },
      ),
      { seed: 1, numRuns: 15 },
    );
  }, 120_000);

  it('should acknowledge changes in time while the disk of the leader is full', async () => {
    const supervised = new SupervisedGroup(1);
    await supervised.start();
    for (const index of [1, 2, 3, 4, 5]) {
      const { host } = await supervised.group.waitLeader();
      const disk = supervised.group.getDisk(host);
      disk.freeBytes = 50 * index;

      expect(await supervised.measureChange()).toBeLessThanOrEqual(ackMs);
      await supervised.advance(1000);
      disk.freeBytes = undefined;
      await supervised.advance(3000);
    }
    await supervised.waitVoters();
    await supervised.group.stopAll();
  }, 60_000);

  // Guards against control hosts that end because of an error that passes, and against a host that
  // takes no part any more after its disk has refused for long.
  it('should go on without a host whose disk refuses, which takes part again afterwards', async () => {
    const passing = fc.constantFrom(
      { ...noFaults, freeBytes: 0 },
      { ...noFaults, freeBytes: 70 },
      { ...noFaults, errorCode: 'EMFILE' },
      { ...noFaults, errorCode: 'EFBIG' },
      { ...noFaults, failingSyncs: 1000 },
    );
    await fc.assert(
      fc.asyncProperty(
        fc.shuffledSubarray(hosts, { minLength: hosts.length }),
        fc.array(passing, { minLength: hosts.length, maxLength: hosts.length }),
        fc.nat(),
        async (order, faults, seed) => {
          const supervised = new SupervisedGroup(seed);
          await supervised.start();
          for (const [index, host] of order.entries()) {
            const disk = { host, refusedMs: 15_000, faults: faults[index] ?? noFaults };

            expect(await supervised.refuseDisk(disk)).toBeLessThanOrEqual(ackMs);
            await supervised.waitVoters();
          }
          expect([...supervised.ended]).toEqual([]);
          await supervised.group.stopAll();
        },
      ),
      { seed: 1, numRuns: 5 },
    );
  }, 120_000);

  it('should go on while the disk of the leader refuses for long', async () => {
    const supervised = new SupervisedGroup(2);
    await supervised.start();
    for (const faults of [
      { ...noFaults, freeBytes: 0 },
      { ...noFaults, errorCode: 'EMFILE' },
      { ...noFaults, errorCode: 'EFBIG' },
      { ...noFaults, failingSyncs: 1000 },
    ]) {
      const { host } = await supervised.group.waitLeader();
      const refusing = { host, refusedMs: 15_000, faults };

      expect(await supervised.refuseDisk(refusing)).toBeLessThanOrEqual(ackMs);
      await supervised.waitVoters();
    }
    expect([...supervised.ended]).toEqual([]);
    await supervised.group.stopAll();
  }, 60_000);

  // Guards against a host that waits for ever where only an operator can help.
  it('should end the process of a host whose disk is read-only, and take it back later', async () => {
    const supervised = new SupervisedGroup(3);
    await supervised.start();
    const [host = ''] = founders;
    const refusing = { host, refusedMs: 5000, faults: { ...noFaults, errorCode: 'EROFS' } };

    expect(await supervised.refuseDisk(refusing)).toBeLessThanOrEqual(ackMs);
    await supervised.waitVoters();
    expect([...supervised.ended]).toEqual([host]);
    await supervised.group.stopAll();
  }, 60_000);

  it('should start a host on a full disk once there is room', async () => {
    const group = new ReplicaGroupFixture({ joining: ['d'] });
    await group.startAll();
    group.getDisk('d').freeBytes = 0;
    const starting = group.startJoining('d');
    await group.clock.advanceBy(10_000);
    group.getDisk('d').freeBytes = undefined;
    await group.run(starting);

    expect(group.running.get('d')?.hasStopped).toBe(false);
    await group.stopAll();
  });
});
