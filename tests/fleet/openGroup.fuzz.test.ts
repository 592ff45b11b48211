import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import fleetTimes from '../../src/daemon/fleetTimes.ts';
import createFuzzStep from '../fixtures/createFuzzStep.ts';
import type LogOracle from '../fixtures/LogOracle.ts';
import LogWorkload from '../fixtures/LogWorkload.ts';
import ReplicaGroupFixture from '../fixtures/ReplicaGroupFixture.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';
import readFuzzSettings from '../fixtures/readFuzzSettings.ts';

const { parameters, timeoutMs } = readFuzzSettings('open group fuzz', 20);
const { seed, numRuns } = parameters;

const founders = ['a', 'b', 'c'];
const joining = ['d', 'e'];
const spares = ['f', 'g', 'h', 'i'];
/** Time in which a host that came back has to be as good as any other one, in milliseconds. */
const catchUpMs = 4000;

const totals = { acknowledged: 0, confirmed: 0, wiped: 0, replaced: 0, elected: 0 };

/** A control group that is found through seeds, the oracle and the calls that are still open. */
class OpenGroupRun {
  readonly group: ReplicaGroupFixture;

  readonly workload: LogWorkload;

  readonly random: SeededRandom;

  /** Hosts that make up the fleet now; a replaced one is gone for good. */
  members = [...founders, ...joining];

  private readonly gone: string[] = [];

  /** Hosts that came back or joined, until when they still count as lost. */
  private readonly catchingUp = new Map<string, number>();

  constructor(runSeed: number) {
    this.random = new SeededRandom(runSeed + 1);
    this.group = new ReplicaGroupFixture({
      hosts: founders,
      joining: [...joining, ...spares],
      seed: runSeed,
      snapshotEntries: 8,
      chunkBytes: 90,
      times: fleetTimes,
    });
    this.workload = new LogWorkload(this.group);
  }

  get oracle(): LogOracle {
    return this.workload.oracle;
  }

  async startFleet(): Promise<void> {
    await this.group.startAll();
    await this.group.commit('first');
    for (const host of joining) await this.join(host);
    await this.group.waitFor(() => this.hasAllVotes());
  }

  getMember(place: number): string {
    return this.members[place % this.members.length] ?? '';
  }

  /** Starts a host as one that may only join, and lets all hosts know of each other. */
  async join(host: string): Promise<void> {
    const { group } = this;
    if (group.running.get(host)?.hasEnded) group.kill(host);
    if (group.running.has(host)) return;
    this.catchingUp.set(host, group.clock.now() + catchUpMs);
    // A disk that stops during the start ends it like a kill.
    await group.run(group.startJoining(host)).catch(() => group.kill(host));
    if (!group.running.has(host)) return;
    [...group.running.keys()].forEach((other) => {
      if (other === host) return;
      group.addLink(other, host);
      group.addLink(host, other);
    });
  }

  kill(host: string, keptBytes: number): void {
    this.group.kill(host, keptBytes);
  }

  /** The disk of a host is lost while some of the others lose power. */
  async wipe(host: string, othersLosePower: boolean): Promise<void> {
    if (!this.mayLoseDisk()) return;
    totals.wiped += 1;
    this.group.wipe(host);
    const others = this.members.filter((other) => other !== host);
    if (othersLosePower) others.forEach((other) => this.group.kill(other));
    await this.group.clock.advanceBy(500);
    for (const member of this.members) await this.join(member);
  }

  /** A host is gone for good; an empty one comes at another address. */
  async replace(host: string, ms: number): Promise<void> {
    const spare = spares[this.gone.length];
    if (!spare || !this.mayLoseDisk()) return;
    totals.replaced += 1;
    this.group.kill(host);
    this.gone.push(host);
    this.members = this.members.map((member) => (member === host ? spare : member));
    this.catchingUp.set(spare, Infinity);
    await this.group.clock.advanceBy(ms);
    await this.join(spare);
  }

  /** Ends every process at once; all disks are kept but for what was not synced. */
  async killAll(keptBytes: number, ms: number): Promise<void> {
    this.members.forEach((member) => this.group.kill(member, keptBytes));
    await this.group.clock.advanceBy(ms);
    for (const member of this.members) await this.join(member);
  }

  split(sideA: readonly string[]): void {
    const sideB = this.members.filter((member) => !sideA.includes(member));
    sideA.forEach((member) => this.group.network.cutHost(member, sideB));
  }

  /** Repairs everything; all hosts have to agree, to serve and to have a vote. */
  async finish(): Promise<void> {
    const { group, oracle } = this;
    this.group.heal();
    group.disks.forEach((disk) => Object.assign(disk, { stopAt: Infinity }));
    await this.workload.waitCalls();
    await group.clock.advanceBy(6000);
    for (const member of this.members) await this.join(member);
    await group.commit('last');
    const { ids } = (await group.waitLeader()).state;
    await group.waitEqual(ids.length);
    await group.waitFor(() => this.hasAllVotes());
    oracle.checkStates(group.running.values());
    oracle.checkFinal(ids);
    totals.acknowledged += oracle.acknowledged.size;
    totals.confirmed += this.workload.confirmed;
    totals.elected += group.log.messages.filter((line) => line === 'replication: leading').length;
    await group.stopAll();
  }

  private hasAllVotes(): boolean {
    const leader = this.group.findLeader();
    const voters = leader?.replica.configuration.voters.map(({ host }) => host).sort() ?? [];
    return voters.join() === [...this.members].sort().join();
  }

  /** One disk at a time may be lost, and only once the host of the last one has caught up. */
  private mayLoseDisk(): boolean {
    const now = this.group.clock.now();
    const isSound = (member: string): boolean => {
      const running = this.group.running.get(member);
      return running !== undefined && !running.hasEnded;
    };
    const isCatchingUp = (member: string): boolean => now < (this.catchingUp.get(member) ?? 0);
    return (
      this.group.network.cuts.size === 0 &&
      this.members.every((member) => isSound(member) && !isCatchingUp(member))
    );
  }
}

const createStep = <Data>(
  name: string,
  arbitrary: fc.Arbitrary<Data>,
  step: (run: OpenGroupRun, data: Data) => Promise<void> | void,
) => createFuzzStep<OpenGroupRun, Data>(name, arbitrary, step);

const place = fc.integer({ min: 0, max: 4 });
const upTo = (max: number) => fc.integer({ min: 0, max });
const nothing = fc.constant(undefined);
const share = fc.double({ min: 0, max: 0.4, noNaN: true });
const work = createStep('work', fc.tuple(upTo(4), upTo(1500)), (run, data) =>
  run.workload.work(...data),
);
const join = createStep('join', place, (run, at) => run.join(run.getMember(at)));
const heal = createStep('heal', nothing, (run) => run.group.heal());
const calm = createStep('calm', nothing, async (run) => {
  run.group.heal();
  for (const member of run.members) await run.join(member);
  await run.group.clock.advanceBy(catchUpMs);
});
const steps = [
  ...[work, work, work, work, work, work, work, work, join, join, join, heal, heal, calm, calm],
  createStep('kill', fc.tuple(place, upTo(200)), (run, [at, keptBytes]) =>
    run.kill(run.getMember(at), keptBytes),
  ),
  createStep('kill all', fc.tuple(upTo(200), upTo(1500)), (run, data) => run.killAll(...data)),
  createStep('wipe', fc.tuple(place, fc.boolean()), (run, [at, othersLosePower]) =>
    run.wipe(run.getMember(at), othersLosePower),
  ),
  createStep('replace', fc.tuple(place, upTo(3000)), (run, [at, ms]) =>
    run.replace(run.getMember(at), ms),
  ),
  createStep('cut', fc.tuple(place, fc.constantFrom('both', 'out', 'in')), (run, [at, way]) => {
    const member = run.getMember(at);
    const others = run.members.filter((other) => other !== member);
    run.group.network.cutHost(member, others, way);
  }),
  createStep('split', fc.tuple(place, place), (run, ends) => {
    run.split([...new Set(ends.map((at) => run.getMember(at)))]);
  }),
  createStep('full disk', fc.tuple(place, upTo(8)), (run, [at, after]) => {
    const disk = run.group.getDisk(run.getMember(at));
    disk.stopAt = disk.operations + after;
  }),
  createStep('hanging disk', fc.tuple(place, upTo(6000)), (run, [at, ms]) => {
    const member = run.getMember(at);
    const endsAt = run.group.clock.now() + ms;
    run.group.drawDiskDelay = (host) =>
      host === member ? Math.max(0, endsAt - run.group.clock.now()) : 0;
  }),
  createStep('slow disks', upTo(120), ({ group, random }, ms) => {
    group.drawDiskDelay = () => random.next() * ms;
  }),
  createStep('freeze', fc.tuple(place, upTo(6000)), ({ group, members }, [at, ms]) => {
    const clock = group.clocks.get(members[at] ?? '');
    clock?.pauseUntil(group.clock.now() + ms);
  }),
  createStep('suspend', fc.tuple(place, upTo(6000)), ({ group, members }, [at, ms]) => {
    const clock = group.clocks.get(members[at] ?? '');
    clock?.suspendUntil(group.clock.now() + ms);
  }),
  // Holds for processes that start from now on, as the time of day of one that runs never jumps.
  createStep('clock step', fc.integer({ min: -60_000, max: 60_000 }), ({ group }, ms) => {
    group.drawClockOffset = () => ms;
  }),
  createStep('links', fc.tuple(upTo(300), share), ({ group, random }, [delayMs, lossShare]) => {
    group.network.drawDelay = () => random.next() * delayMs;
    group.network.isAnswerLost = () => random.next() < lossShare;
  }),
];

describe('control group that is found through seeds, under random failures', () => {
  // Guards against lost, repeated or reordered commands, stale reads and votes of empty hosts.
  it(
    `should agree with the oracle (FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns})`,
    async () => {
      const commands = fc.commands(steps, { maxCommands: 60, size: 'max' });
      await fc.assert(
        fc.asyncProperty(
          commands,
          fc.integer({ min: 1, max: 1_000_000 }),
          async (list, runSeed) => {
            const run = new OpenGroupRun(runSeed);
            await run.startFleet();
            await fc.asyncModelRun(() => ({ model: {}, real: run }), list);
            await run.finish();
          },
        ),
        { seed, numRuns },
      );
      process.stdout.write(
        `open group fuzz: FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns}: ${JSON.stringify(totals)}\n`,
      );
      expect(totals.acknowledged).toBeGreaterThan(numRuns);
    },
    timeoutMs,
  );
});
