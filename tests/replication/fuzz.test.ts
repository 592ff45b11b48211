import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import LogOracle from '../fixtures/LogOracle.ts';
import ReplicaGroupFixture from '../fixtures/ReplicaGroupFixture.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';

const seed = Number(process.env.FUZZ_SEED ?? 20_261_204);
const numRuns = Number(process.env.FUZZ_RUNS ?? 30);

type Step =
  | { readonly kind: 'work'; readonly count: number; readonly ms: number }
  | { readonly kind: 'propose' | 'start'; readonly host: string }
  | { readonly kind: 'restart'; readonly host: string; readonly keptBytes: number; ms: number }
  | { readonly kind: 'kill' | 'wipe'; readonly host: string; readonly keptBytes: number }
  | { readonly kind: 'stop_disk'; readonly host: string; readonly after: number }
  | { readonly kind: 'cut'; readonly host: string; readonly way: 'both' | 'out' | 'in' }
  | { readonly kind: 'links'; readonly delayMs: number; readonly lossShare: number }
  | { readonly kind: 'slow_disks'; readonly ms: number }
  | { readonly kind: 'heal' | 'stop_leader' }
  | { readonly kind: 'advance'; readonly ms: number };

const totals = { acknowledged: 0, confirmed: 0, wiped: 0, installed: 0, elected: 0 };

/** A group under test, the oracle and the calls that are still open. */
class FuzzRun {
  readonly group: ReplicaGroupFixture;

  readonly oracle = new LogOracle();

  private readonly random: SeededRandom;

  private readonly calls: Promise<void>[] = [];

  private nextId = 0;

  constructor(runSeed: number) {
    this.group = new ReplicaGroupFixture({ seed: runSeed, snapshotEntries: 8, pieceBytes: 90 });
    this.random = new SeededRandom(runSeed + 1);
  }

  async runStep(step: Step): Promise<void> {
    const { group } = this;
    if (step.kind === 'work') await this.work(step.count, step.ms);
    if (step.kind === 'propose') this.propose(step.host);
    if (step.kind === 'start') await this.start(step.host);
    if (step.kind === 'kill') group.kill(step.host, step.keptBytes);
    if (step.kind === 'restart') {
      group.kill(step.host, step.keptBytes);
      await group.clock.advanceBy(step.ms);
      await this.start(step.host);
    }
    if (step.kind === 'wipe' && this.mayWipe()) {
      totals.wiped += 1;
      group.wipe(step.host);
      await this.start(step.host);
    }
    if (step.kind === 'stop_disk') {
      const disk = group.getDisk(step.host);
      disk.stopAt = disk.operations + step.after;
    }
    if (step.kind === 'cut') {
      group.network.cutHost(
        step.host,
        group.hosts.filter((host) => host !== step.host),
        step.way,
      );
    }
    if (step.kind === 'links') {
      group.network.drawDelay = () => this.random.next() * step.delayMs;
      group.network.isAnswerLost = () => this.random.next() < step.lossShare;
    }
    if (step.kind === 'slow_disks') group.drawDiskDelay = () => this.random.next() * step.ms;
    if (step.kind === 'heal') this.heal();
    if (step.kind === 'stop_leader') this.stopLeader();
    if (step.kind === 'advance') await group.clock.advanceBy(step.ms);
    this.oracle.checkStates(group.running.values());
  }

  /** Repairs everything; all replicas have to agree and to serve again. */
  async finish(): Promise<void> {
    const { group, oracle } = this;
    this.heal();
    for (const host of group.hosts) {
      group.kill(host);
      await group.start(host);
    }
    await group.commit('last');
    await group.run(Promise.all(this.calls));
    const { ids } = (await group.waitLeader()).state;
    await group.waitEqual(ids.length);
    oracle.checkStates(group.running.values());
    oracle.checkFinal(ids);
    const count = (text: string) => group.log.messages.filter((line) => line === text).length;
    totals.acknowledged += oracle.count;
    totals.installed += count('replication: snapshot installed');
    totals.elected += count('replication: leading');
    await group.stopAll();
  }

  private async start(host: string): Promise<void> {
    if (this.group.running.get(host)?.hasEnded) this.group.kill(host);
    if (this.group.running.has(host)) return;
    // A disk that stops during the start ends it like a kill.
    await this.group.run(this.group.start(host)).catch(() => this.group.kill(host));
  }

  /** A second loss is survived only after every voter is one of the current replicas. */
  private mayWipe(): boolean {
    const { running, hosts } = this.group;
    const all = [...running.values()];
    const ids = all
      .map(({ replica }) => replica.replicaId)
      .sort()
      .join();
    return (
      all.length === hosts.length &&
      all.every(
        ({ replica }) =>
          replica.configuration.voters
            .map(({ replicaId }) => replicaId)
            .sort()
            .join() === ids,
      )
    );
  }

  private heal(): void {
    const { network } = this.group;
    this.group.drawDiskDelay = () => 0;
    network.cuts.clear();
    network.drawDelay = () => 0;
    network.isAnswerLost = () => false;
  }

  private stopLeader(): void {
    const { group } = this;
    const leader = group.findLeader();
    if (leader) this.calls.push(leader.replica.stop(group.clock.now() + 2000));
  }

  /** Sends to every host that believes to lead, be it right or not. */
  private async work(count: number, ms: number): Promise<void> {
    const leaders = [...this.group.running.values()].filter(
      ({ replica }) => replica.role === 'leader',
    );
    leaders.forEach((leader) => {
      this.confirm(leader.host);
      Array.from({ length: count }).forEach(() => this.propose(leader.host));
      this.confirm(leader.host);
    });
    await this.group.clock.advanceBy(ms);
  }

  private propose(host: string): void {
    const running = this.group.running.get(host);
    if (!running) return;
    const { acknowledgedEnd } = this.oracle;
    const id = `x${this.nextId}`;
    this.nextId += 1;
    const call = this.group.propose(running, id, 1500).then((result) => {
      if (result.ok) this.oracle.recordAcknowledged(id, result.value, acknowledgedEnd);
    });
    this.calls.push(call);
  }

  private confirm(host: string): void {
    const running = this.group.running.get(host);
    if (!running) return;
    const { acknowledgedEnd } = this.oracle;
    const deadline = this.group.clock.now() + 1500;
    const call = running.replica.confirmRead(deadline).then((result) => {
      if (!result.ok) return;
      totals.confirmed += 1;
      expect(running.state.ids.length, 'confirmed read').toBeGreaterThanOrEqual(acknowledgedEnd);
    });
    this.calls.push(call);
  }
}

class FuzzCommand implements fc.AsyncCommand<object, FuzzRun> {
  private readonly step: Step;

  constructor(step: Step) {
    this.step = step;
  }

  check(): boolean {
    return true;
  }

  run(_model: object, run: FuzzRun): Promise<void> {
    return run.runStep(this.step);
  }

  toString(): string {
    return JSON.stringify(this.step);
  }
}

const host = fc.constantFrom('a', 'b', 'c');
const keptBytes = fc.integer({ min: 0, max: 200 });
const work = fc.record({
  kind: fc.constant('work'),
  count: fc.integer({ min: 1, max: 4 }),
  ms: fc.integer({ min: 1, max: 1500 }),
});
const start = fc.record({ kind: fc.constant('start'), host });
const heal = fc.record({ kind: fc.constant('heal') });
const steps = [
  ...[work, work, work, work, work, work, work, start, start, start, heal, heal, heal],
  fc.record({ kind: fc.constant('propose'), host }),
  fc.record({ kind: fc.constant('advance'), ms: fc.integer({ min: 300, max: 3000 }) }),
  fc.record({ kind: fc.constant('kill'), host, keptBytes }),
  fc.record({
    kind: fc.constant('restart'),
    ...{ host, keptBytes, ms: fc.integer({ min: 0, max: 2000 }) },
  }),
  fc.record({ kind: fc.constant('wipe'), host, keptBytes }),
  fc.record({ kind: fc.constant('stop_disk'), host, after: fc.integer({ min: 1, max: 8 }) }),
  fc.record({ kind: fc.constant('cut'), host, way: fc.constantFrom('both', 'out', 'in') }),
  fc.record({
    kind: fc.constant('links'),
    delayMs: fc.integer({ min: 0, max: 300 }),
    lossShare: fc.double({ min: 0, max: 0.4, noNaN: true }),
  }),
  fc.record({ kind: fc.constant('slow_disks'), ms: fc.integer({ min: 0, max: 120 }) }),
  fc.record({ kind: fc.constant('stop_leader') }),
] as readonly fc.Arbitrary<Step>[];

describe('replicas under random failures', () => {
  // Guards against lost, repeated or reordered commands, stale reads and states that differ.
  it(`should agree with the oracle (FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns})`, async () => {
    const commands = fc.commands(
      steps.map((step) => step.map((data) => new FuzzCommand(data))),
      { maxCommands: 80, size: 'max' },
    );
    await fc.assert(
      fc.asyncProperty(commands, fc.integer({ min: 1, max: 1_000_000 }), async (list, runSeed) => {
        const run = new FuzzRun(runSeed);
        await run.group.startAll();
        await run.group.commit('first');
        await fc.asyncModelRun(() => ({ model: {}, real: run }), list);
        await run.finish();
      }),
      { seed, numRuns, interruptAfterTimeLimit: undefined },
    );
    process.stdout.write(
      `replication fuzz: FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns}: ${JSON.stringify(totals)}\n`,
    );
    expect(totals.acknowledged).toBeGreaterThan(numRuns);
  }, 600_000);
});
