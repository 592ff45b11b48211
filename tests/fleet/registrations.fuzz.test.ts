import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import RegistryGroup from '../fixtures/RegistryGroup.ts';
import createRegistration from '../fixtures/createRegistration.ts';
import readFuzzSettings from '../fixtures/readFuzzSettings.ts';

const { parameters, timeoutMs } = readFuzzSettings('registrations fuzz', 300);
const { seed, numRuns } = parameters;

const names = ['u1', 'u2', 'u3'];
const addresses = ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80', '10.0.0.4:80'];
const hostCount = 3;

/** One run of an upstream, as it really is. */
interface Run {
  readonly upstream: string;
  readonly bornAt: number;
  readonly address: string;
  sequence: number;
  state: 'serving' | 'leaving' | 'ended';
  isRegistered: boolean;
  /** Whether a control host acknowledged that the run leaves or has left. */
  hasDrained: boolean;
  hasLeft: boolean;
}

type Announcement = ReturnType<typeof createRegistration>;

const totals = { drained: 0, left: 0, delayed: 0, contested: 0 };

/** Upstreams that start, leave and crash, and control hosts that lag behind their group. */
class RegistrationsRun {
  readonly group = new RegistryGroup();

  private readonly hosts = Array.from({ length: hostCount }, (_, index) =>
    this.group.createLaggingHost(`host${index}`),
  );

  private readonly runs: Run[] = [];

  private readonly delayed: Announcement[] = [];

  private readonly stopping = new AbortController();

  private readonly tasks = this.hosts.map(({ registrations }) =>
    registrations.run(this.stopping.signal),
  );

  start(upstream: string): void {
    const live = this.runs.filter(({ state }) => state !== 'ended');
    const address = addresses.find((free) => live.every((run) => run.address !== free));
    if (address === undefined || live.some((run) => run.upstream === upstream)) return;
    this.runs.push({
      ...{ upstream, address, bornAt: this.group.clock.now(), sequence: 0, state: 'serving' },
      ...{ isRegistered: false, hasDrained: false, hasLeft: false },
    });
  }

  crash(upstream: string): void {
    const run = this.findRun(upstream);
    if (run) run.state = 'ended';
  }

  async announce(upstream: string, host: number): Promise<void> {
    const run = this.findRun(upstream);
    if (!run) return;
    const isAccepted = await this.send(this.createAnnouncement(run), host);
    run.isRegistered ||= isAccepted;
    if (!isAccepted || run.state !== 'leaving') return;
    totals.drained += run.hasDrained ? 0 : 1;
    run.hasDrained = true;
  }

  async drain(upstream: string, host: number): Promise<void> {
    const run = this.findRun(upstream);
    if (run) run.state = 'leaving';
    await this.announce(upstream, host);
  }

  /** Without a start time, only a run that is registered says that it leaves. */
  async leave(upstream: string, host: number, hasBornAt: boolean): Promise<void> {
    const run = this.findRun(upstream);
    if (!run || !(hasBornAt || run.isRegistered)) return;
    run.state = 'ended';
    const bornAt = hasBornAt ? run.bornAt : undefined;
    const removed = await this.getHost(host).registrations.removeUpstream(upstream, bornAt);
    run.hasLeft = removed.ok;
    totals.left += removed.ok ? 1 : 0;
  }

  /** Sends an announcement that arrives later. */
  delay(upstream: string): void {
    const run = this.findRun(upstream);
    if (run) this.delayed.push(this.createAnnouncement(run));
  }

  async deliver(host: number): Promise<void> {
    const announcement = this.delayed.shift();
    if (!announcement) return;
    totals.delayed += 1;
    await this.send(announcement, host);
  }

  /** Another writer names the address of an upstream. */
  async contest(upstream: string, host: number, state: 'serving' | 'leaving'): Promise<void> {
    const run = this.findRun(upstream);
    if (!run) return;
    totals.contested += 1;
    const { address } = run;
    const bornAt = this.group.clock.now() + 1;
    await this.send(createRegistration({ upstream: 'w', address, bornAt, state }), host);
  }

  catchUp(host: number, count: number): void {
    this.getHost(host).catchUp(count);
  }

  checkStates(): void {
    const { registry } = this.group.state;
    this.runs.forEach(({ upstream, bornAt, hasDrained, hasLeft }) => {
      const known = registry.findUpstream(upstream);
      if (known?.bornAt !== bornAt) return;
      if (hasDrained) expect(known.state, `${upstream}, which drains`).not.toBe('serving');
      if (hasLeft) expect(known.state, `${upstream}, which has left`).toBe('gone');
    });
  }

  /** Checks that all upstreams that run are in use once hosts that have caught up hear them. */
  async finish(): Promise<void> {
    const { group, hosts } = this;
    group.hasMajority = true;
    hosts.forEach((host) => host.catchUp());
    for (const { upstream } of this.runs.filter(({ state }) => state === 'serving')) {
      await this.announce(upstream, 0);
      expect(group.state.registry.findUpstream(upstream)?.state).toBe('serving');
    }
    this.checkStates();
    this.stopping.abort();
    await group.clock.advanceBy(2000);
    await Promise.all(this.tasks);
  }

  private findRun(upstream: string): Run | undefined {
    return this.runs.find((run) => run.upstream === upstream && run.state !== 'ended');
  }

  private getHost(index: number) {
    const host = this.hosts[index];
    if (!host) throw new Error(`host ${index} does not exist`);
    return host;
  }

  private createAnnouncement(run: Run): Announcement {
    run.sequence += 1;
    const { upstream, bornAt, address, sequence, state } = run;
    const announced = state === 'leaving' ? 'leaving' : 'serving';
    return createRegistration({ upstream, bornAt, address, sequence, state: announced });
  }

  private async send(announcement: Announcement, host: number): Promise<boolean> {
    return (await this.getHost(host).registrations.acceptRegistration(announcement)).ok;
  }
}

function createStep<Data>(
  name: string,
  arbitrary: fc.Arbitrary<Data>,
  step: (run: RegistrationsRun, data: Data) => Promise<void> | void,
): fc.Arbitrary<fc.AsyncCommand<object, RegistrationsRun>> {
  return arbitrary.map((data) => ({
    check: () => true,
    run: async (_model, run) => {
      await step(run, data);
      await run.group.clock.advanceBy(1);
      run.checkStates();
    },
    toString: () => `${name} ${JSON.stringify(data)}`,
  }));
}

const name = fc.constantFrom(...names);
const host = fc.nat({ max: hostCount - 1 });
const call = fc.tuple(name, host);
const announce = createStep('announce', call, (run, data) => run.announce(...data));
const start = createStep('start', name, (run, data) => run.start(data));
const catchUp = createStep('catch up', fc.tuple(host, fc.nat({ max: 6 })), (run, data) =>
  run.catchUp(...data),
);
const deliver = createStep('deliver', host, (run, data) => run.deliver(data));
const steps = [
  ...[announce, announce, announce, start, start, catchUp, catchUp, deliver],
  createStep('delay', name, (run, data) => run.delay(data)),
  createStep('drain', call, (run, data) => run.drain(...data)),
  createStep('leave', fc.tuple(name, host, fc.boolean()), (run, data) => run.leave(...data)),
  createStep('crash', name, (run, data) => run.crash(data)),
  createStep(
    'contest',
    fc.tuple(name, host, fc.constantFrom('serving' as const, 'leaving' as const)),
    (run, data) => run.contest(...data),
  ),
  createStep('majority', fc.boolean(), (run, hasMajority) => {
    run.group.hasMajority = hasMajority;
  }),
  createStep('wait', fc.integer({ min: 1, max: 40_000 }), (run, ms) =>
    run.group.clock.advanceBy(ms),
  ),
];

describe('registrations at control hosts that lag behind their group', () => {
  // Guards against an acknowledged departure that is lost or undone, and against upstreams that
  // announce themselves and are not in use.
  it(
    `should agree with what the upstreams are (FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns})`,
    async () => {
      const commands = fc.commands(steps, { maxCommands: 60, size: 'max' });
      await fc.assert(
        fc.asyncProperty(commands, async (commandList) => {
          const run = new RegistrationsRun();
          await fc.asyncModelRun(() => ({ model: {}, real: run }), commandList);
          await run.finish();
        }),
        { seed, numRuns },
      );
      process.stdout.write(`registrations fuzz: ${JSON.stringify(totals)}\n`);
      expect(Math.min(...Object.values(totals))).toBeGreaterThan(0);
    },
    timeoutMs,
  );
});
