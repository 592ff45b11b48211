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
/** Time within which a restarted or new host has to catch up, in milliseconds. */
const catchUpMs = 4000;
/** Time within which a command is acknowledged without faults, in milliseconds. */
const acknowledgementMs = 2000;

const totals = { acknowledged: 0, confirmed: 0, wiped: 0, replaced: 0, elected: 0, finalFaults: 0 };

/** One run of a control group that is found through seeds, with its workload and random source. */
class OpenGroupRun {
  readonly group: ReplicaGroupFixture;

  readonly workload: LogWorkload;

  readonly random: SeededRandom;

  /** Hosts that are in the fleet now; a replaced host never returns. */
  members = [...founders, ...joining];

  private readonly replaced: string[] = [];

  /** When each restarted or new host counts as caught up; until then no disk may be lost. */
  private readonly catchingUp = new Map<string, number>();

  /** Number of disks that the final fault takes. */
  private readonly lostHosts: number;

  constructor(runSeed: number) {
    this.random = new SeededRandom(runSeed + 1);
    this.lostHosts = 1 + Math.floor(this.random.next() * 2);
    this.group = new ReplicaGroupFixture({
      hosts: founders,
      joining: [...joining, ...spares],
      seed: runSeed,
      snapshotEntries: 8,
      chunkBytes: 90,
      times: fleetTimes,
      minVoters: 2 * this.lostHosts + 1,
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
    await this.group.waitFor(() => this.areAllVoters());
  }

  getMember(memberIndex: number): string {
    return this.members[memberIndex % this.members.length] ?? '';
  }

  /** Starts a host that may join a group but not form one, and adds links between all hosts. */
  async join(host: string): Promise<void> {
    const { group } = this;
    if (group.running.get(host)?.hasStopped) group.kill(host);
    if (group.running.has(host)) return;
    this.catchingUp.set(host, group.clock.now() + catchUpMs);
    // A start that fails because the disk stops counts as a kill.
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

  /** Replaces the disk of a host with an empty one; kills all other hosts if `othersLosePower`. */
  async wipe(host: string, othersLosePower: boolean): Promise<void> {
    if (!this.isDiskLossAllowed()) return;
    totals.wiped += 1;
    this.group.wipe(host);
    const others = this.members.filter((other) => other !== host);
    if (othersLosePower) others.forEach((other) => this.group.kill(other));
    await this.group.clock.advanceBy(500);
    for (const member of this.members) await this.join(member);
  }

  /** Removes a host for good; after `ms` a host with an empty disk joins under another name. */
  async replace(host: string, ms: number): Promise<void> {
    const spare = spares[this.replaced.length];
    if (!spare || !this.isDiskLossAllowed()) return;
    totals.replaced += 1;
    this.group.kill(host);
    this.replaced.push(host);
    this.members = this.members.map((member) => (member === host ? spare : member));
    this.catchingUp.set(spare, Infinity);
    await this.group.clock.advanceBy(ms);
    await this.join(spare);
  }

  /** Kills every process; of each unsynced append only the first `keptBytes` bytes are kept. */
  async killAll(keptBytes: number, ms: number): Promise<void> {
    this.members.forEach((member) => this.group.kill(member, keptBytes));
    await this.group.clock.advanceBy(ms);
    for (const member of this.members) await this.join(member);
  }

  split(sideA: readonly string[]): void {
    const sideB = this.members.filter((member) => !sideA.includes(member));
    sideA.forEach((member) => this.group.network.cutHost(member, sideB));
  }

  /**
   * Checks that all hosts agree, before and after a final fault: some hosts lose their disks while
   * all others lose power.
   */
  async finish(): Promise<void> {
    const { group, oracle } = this;
    await this.checkRepaired('last');
    await this.startFinalFault();
    await this.checkRepaired('after the final fault');
    totals.acknowledged += oracle.acknowledged.size;
    totals.confirmed += this.workload.confirmed;
    totals.elected += group.log.messages.filter((line) => line === 'replication: leading').length;
    await group.stopAll();
  }

  /** Repairs all faults, starts all hosts, and checks that all agree, commit and are voters. */
  private async checkRepaired(lastId: string): Promise<void> {
    const { group, oracle } = this;
    this.group.repairFaults();
    group.disks.forEach((disk) => Object.assign(disk, { stopAt: Infinity }));
    await this.workload.waitCalls();
    await group.clock.advanceBy(6000);
    for (const member of this.members) await this.join(member);
    await group.commit(lastId);
    const { ids } = (await group.waitLeader()).state;
    await group.waitAllApplied(ids.length);
    await group.waitFor(() => this.areAllVoters());
    oracle.checkStates(group.running.values());
    oracle.checkFinal(ids);
  }

  /** Happens as soon as one more command is acknowledged, while others are under way. */
  private async startFinalFault(): Promise<void> {
    const { group, oracle, random, workload } = this;
    group.drawDiskDelay = () => random.next() * 30;
    group.network.drawDelay = () => random.next() * 10;
    await workload.callLeaders(4, 0);
    const { size } = oracle.acknowledged;
    const deadline = group.clock.now() + acknowledgementMs;
    while (oracle.acknowledged.size === size && group.clock.now() < deadline) {
      await group.clock.advanceBy(1);
    }
    if (oracle.acknowledged.size > size) totals.finalFaults += 1;
    const order = [...this.members].sort(() => random.next() - 0.5);
    order.slice(0, this.lostHosts).forEach((host) => group.wipe(host));
    order
      .slice(this.lostHosts)
      .forEach((host) => group.kill(host, Math.floor(random.next() * 600)));
  }

  private areAllVoters(): boolean {
    const leader = this.group.findLeader();
    const voters = leader?.replica.configuration.voters.map(({ host }) => host).sort() ?? [];
    return voters.join() === [...this.members].sort().join();
  }

  /** A disk may be lost only while all hosts run and have caught up, and no link is cut. */
  private isDiskLossAllowed(): boolean {
    const now = this.group.clock.now();
    const isRunning = (member: string): boolean => {
      const running = this.group.running.get(member);
      return running !== undefined && !running.hasStopped;
    };
    const isCatchingUp = (member: string): boolean => now < (this.catchingUp.get(member) ?? 0);
    return (
      this.group.network.cuts.size === 0 &&
      this.members.every((member) => isRunning(member) && !isCatchingUp(member))
    );
  }
}

const createStep = <Data>(
  name: string,
  arbitrary: fc.Arbitrary<Data>,
  step: (run: OpenGroupRun, data: Data) => Promise<void> | void,
) => createFuzzStep<OpenGroupRun, Data>(name, arbitrary, step);

const memberIndex = fc.integer({ min: 0, max: 4 });
const upTo = (max: number) => fc.integer({ min: 0, max });
const noData = fc.constant(undefined);
const share = fc.double({ min: 0, max: 0.4, noNaN: true });
const callLeaders = createStep('call leaders', fc.tuple(upTo(4), upTo(1500)), (run, data) =>
  run.workload.callLeaders(...data),
);
const join = createStep('join', memberIndex, (run, index) => run.join(run.getMember(index)));
const repairFaults = createStep('repair faults', noData, (run) => run.group.repairFaults());
const recover = createStep('recover', noData, async (run) => {
  run.group.repairFaults();
  for (const member of run.members) await run.join(member);
  await run.group.clock.advanceBy(catchUpMs);
});
const steps = [
  ...[
    callLeaders,
    callLeaders,
    callLeaders,
    callLeaders,
    callLeaders,
    callLeaders,
    callLeaders,
    callLeaders,
    join,
    join,
    join,
    repairFaults,
    repairFaults,
    recover,
    recover,
  ],
  createStep('kill', fc.tuple(memberIndex, upTo(600)), (run, [index, keptBytes]) =>
    run.kill(run.getMember(index), keptBytes),
  ),
  createStep('kill all', fc.tuple(upTo(600), upTo(1500)), (run, data) => run.killAll(...data)),
  createStep('wipe', fc.tuple(memberIndex, fc.boolean()), (run, [index, othersLosePower]) =>
    run.wipe(run.getMember(index), othersLosePower),
  ),
  createStep('replace', fc.tuple(memberIndex, upTo(3000)), (run, [index, ms]) =>
    run.replace(run.getMember(index), ms),
  ),
  createStep(
    'cut',
    fc.tuple(memberIndex, fc.constantFrom('both', 'out', 'in')),
    (run, [index, direction]) => {
      const member = run.getMember(index);
      const others = run.members.filter((other) => other !== member);
      run.group.network.cutHost(member, others, direction);
    },
  ),
  createStep('split', fc.tuple(memberIndex, memberIndex), (run, indexes) => {
    run.split([...new Set(indexes.map((index) => run.getMember(index)))]);
  }),
  createStep('full disk', fc.tuple(memberIndex, upTo(8)), (run, [index, operationsLeft]) => {
    const disk = run.group.getDisk(run.getMember(index));
    disk.stopAt = disk.operations + operationsLeft;
  }),
  createStep('hanging disk', fc.tuple(memberIndex, upTo(6000)), (run, [index, ms]) => {
    const member = run.getMember(index);
    const hangsUntil = run.group.clock.now() + ms;
    run.group.drawDiskDelay = (host) =>
      host === member ? Math.max(0, hangsUntil - run.group.clock.now()) : 0;
  }),
  createStep('slow disks', upTo(120), ({ group, random }, ms) => {
    group.drawDiskDelay = () => random.next() * ms;
  }),
  createStep('freeze', fc.tuple(memberIndex, upTo(6000)), ({ group, members }, [index, ms]) => {
    const clock = group.clocks.get(members[index] ?? '');
    clock?.pauseUntil(group.clock.now() + ms);
  }),
  createStep('suspend', fc.tuple(memberIndex, upTo(6000)), ({ group, members }, [index, ms]) => {
    const clock = group.clocks.get(members[index] ?? '');
    clock?.suspendUntil(group.clock.now() + ms);
  }),
  // Applies only to processes that start later: the clock of a running process never steps.
  createStep('clock step', fc.integer({ min: -60_000, max: 60_000 }), ({ group }, ms) => {
    group.drawClockOffset = () => ms;
  }),
  createStep('links', fc.tuple(upTo(300), share), ({ group, random }, [delayMs, lossShare]) => {
    group.network.drawDelay = () => random.next() * delayMs;
    group.network.isAnswerLost = () => random.next() < lossShare;
  }),
];

describe('control group that is found through seeds, under random failures', () => {
  // Guards against lost, repeated or reordered commands, stale reads, and votes of hosts whose disk
  // is empty.
  it(
    `should agree with the oracle (FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns})`,
    async () => {
      const commands = fc.commands(steps, { maxCommands: 60, size: 'max' });
      await fc.assert(
        fc.asyncProperty(
          commands,
          fc.integer({ min: 1, max: 1_000_000 }),
          async (commandList, runSeed) => {
            const run = new OpenGroupRun(runSeed);
            await run.startFleet();
            await fc.asyncModelRun(() => ({ model: {}, real: run }), commandList);
            await run.finish();
          },
        ),
        { seed, numRuns },
      );
      process.stdout.write(
        `open group fuzz: FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns}: ${JSON.stringify(totals)}\n`,
      );
      expect(totals.acknowledged).toBeGreaterThan(numRuns);
      expect(totals.finalFaults).toBe(numRuns);
    },
    timeoutMs,
  );
});
