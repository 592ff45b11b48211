import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import createFuzzStep from '../fixtures/createFuzzStep.ts';
import type LogOracle from '../fixtures/LogOracle.ts';
import LogWorkload from '../fixtures/LogWorkload.ts';
import ReplicaGroupFixture from '../fixtures/ReplicaGroupFixture.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';
import readFuzzSettings from '../fixtures/readFuzzSettings.ts';

const { parameters, timeoutMs } = readFuzzSettings('replication fuzz', 30);
const { seed, numRuns } = parameters;

const totals = { acknowledged: 0, confirmed: 0, wiped: 0, installed: 0, elected: 0 };

/** A group under test, its workload with the oracle, and the random source of its faults. */
class FuzzRun {
  readonly group: ReplicaGroupFixture;

  readonly workload: LogWorkload;

  readonly random: SeededRandom;

  constructor(runSeed: number) {
    this.group = new ReplicaGroupFixture({ seed: runSeed, snapshotEntries: 8, chunkBytes: 90 });
    this.random = new SeededRandom(runSeed + 1);
    this.workload = new LogWorkload(this.group);
  }

  get oracle(): LogOracle {
    return this.workload.oracle;
  }

  async restart(host: string, keptBytes: number, ms: number): Promise<void> {
    this.group.kill(host, keptBytes);
    await this.group.clock.advanceBy(ms);
    await this.start(host);
  }

  async wipe(host: string): Promise<void> {
    if (!this.mayWipe()) return;
    totals.wiped += 1;
    this.group.wipe(host);
    await this.start(host);
  }

  /** Repairs links and disks, starts stopped replicas, and checks that all agree and commit. */
  async finish(): Promise<void> {
    const { group, oracle } = this;
    this.group.repairFaults();
    group.disks.forEach((disk) => Object.assign(disk, { stopAt: Infinity }));
    await this.workload.waitCalls();
    // A replica whose disk failed stops only after its pending calls have finished.
    await group.clock.advanceBy(6000);
    for (const host of group.hosts) await this.start(host);
    await group.commit('last');
    const { ids } = (await group.waitLeader()).state;
    await group.waitAllApplied(ids.length);
    oracle.checkStates(group.running.values());
    oracle.checkFinal(ids);
    const count = (text: string) => group.log.messages.filter((line) => line === text).length;
    totals.acknowledged += oracle.acknowledged.size;
    totals.confirmed += this.workload.confirmed;
    totals.installed += count('replication: snapshot installed');
    totals.elected += count('replication: leading');
    await group.stopAll();
  }

  async start(host: string): Promise<void> {
    if (this.group.running.get(host)?.hasStopped) this.group.kill(host);
    if (this.group.running.has(host)) return;
    // A start that fails because the disk stops counts as a kill.
    await this.group.run(this.group.start(host)).catch(() => this.group.kill(host));
  }

  /**
   * Whether a disk may be wiped: only when every voter is a running replica, because acknowledged
   * data could be lost otherwise.
   */
  private mayWipe(): boolean {
    const all = [...this.group.running.values()].map(({ replica }) => replica);
    const ids = new Set(all.map(({ replicaId }) => replicaId));
    const hasCurrentVoters = ({ configuration: { voters } }: (typeof all)[number]): boolean =>
      voters.length === ids.size && voters.every(({ replicaId }) => ids.has(replicaId));
    return ids.size === this.group.hosts.length && all.every(hasCurrentVoters);
  }

  stopLeader(): void {
    const { group } = this;
    const leader = group.findLeader();
    if (leader) this.workload.addCall(leader.replica.stop(group.clock.now() + 2000));
  }
}

const createStep = <Data>(
  name: string,
  arbitrary: fc.Arbitrary<Data>,
  step: (run: FuzzRun, data: Data) => Promise<void> | void,
) => createFuzzStep<FuzzRun, Data>(name, arbitrary, step);

const host = fc.constantFrom('a', 'b', 'c');
const directions = fc.constantFrom('both' as const, 'out' as const, 'in' as const);
const noData = fc.constant(undefined);
const upTo = (max: number) => fc.integer({ min: 0, max });
const share = fc.double({ min: 0, max: 0.4, noNaN: true });
const keptBytes = upTo(600);
const callLeaders = createStep('call leaders', fc.tuple(upTo(4), upTo(1500)), (run, data) =>
  run.workload.callLeaders(...data),
);
const start = createStep('start', host, (run, name) => run.start(name));
const repairFaults = createStep('repair faults', noData, (run) => run.group.repairFaults());
const steps = [
  ...[
    callLeaders,
    callLeaders,
    callLeaders,
    callLeaders,
    callLeaders,
    callLeaders,
    callLeaders,
    start,
    start,
    start,
    repairFaults,
    repairFaults,
    repairFaults,
  ],
  createStep('propose', host, (run, name) => run.workload.propose(name)),
  createStep('advance the clock', upTo(3000), (run, ms) => run.group.clock.advanceBy(ms)),
  createStep('kill', fc.tuple(host, keptBytes), (run, data) => run.group.kill(...data)),
  createStep('restart', fc.tuple(host, keptBytes, upTo(2000)), (run, data) => run.restart(...data)),
  createStep('wipe', host, (run, name) => run.wipe(name)),
  createStep('stop disk', fc.tuple(host, upTo(8)), ({ group }, [name, after]) => {
    group.getDisk(name).stopAt = group.getDisk(name).operations + after;
  }),
  createStep('cut links', fc.tuple(host, directions), (run, [name, direction]) => {
    const others = run.group.hosts.filter((other) => other !== name);
    run.group.network.cutHost(name, others, direction);
  }),
  createStep(
    'delay and lose messages',
    fc.tuple(upTo(300), share),
    ({ group, random }, [delayMs, lossShare]) => {
      group.network.drawDelay = () => random.next() * delayMs;
      group.network.isAnswerLost = () => random.next() < lossShare;
    },
  ),
  createStep('slow disks', upTo(120), ({ group, random }, ms) => {
    group.drawDiskDelay = () => random.next() * ms;
  }),
  createStep('slow event loop', upTo(200), ({ group }, ms) => {
    group.clock.yieldMs = ms;
  }),
  createStep('stop the leader', noData, (run) => run.stopLeader()),
];

describe('replicas under random failures', () => {
  // Guards against lost, repeated or reordered commands, stale reads and replicas whose states
  // differ.
  it(
    `should agree with the oracle (FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns})`,
    async () => {
      const commands = fc.commands(steps, { maxCommands: 80, size: 'max' });
      await fc.assert(
        fc.asyncProperty(
          commands,
          fc.integer({ min: 1, max: 1_000_000 }),
          async (list, runSeed) => {
            const run = new FuzzRun(runSeed);
            await run.group.startAll();
            await run.group.commit('first');
            await fc.asyncModelRun(() => ({ model: {}, real: run }), list);
            await run.finish();
          },
        ),
        { seed, numRuns },
      );
      process.stdout.write(
        `replication fuzz: FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns}: ${JSON.stringify(totals)}\n`,
      );
      expect(totals.acknowledged).toBeGreaterThan(numRuns);
    },
    timeoutMs,
  );
});
