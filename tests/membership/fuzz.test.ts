import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import FakeFleet from '../fixtures/FakeFleet.ts';
import type { FakeHost } from '../fixtures/FakeFleet.ts';
import readFuzzSettings from '../fixtures/readFuzzSettings.ts';

const { parameters, timeoutMs } = readFuzzSettings('membership fuzz', 6);
const { seed, numRuns } = parameters;
const controlNames = ['c1', 'c2', 'c3'] as const;
const entryNames = ['e1', 'e2', 'e3', 'e4', 'e5'] as const;
const names = [...controlNames, ...entryNames];

const pick = <Item>(items: readonly Item[], number: number): Item =>
  items[number % items.length] as Item;

/** Applies steps to a fleet and checks the invariants of every host after each step. */
class FuzzRun {
  readonly fleet: FakeFleet;

  private readonly upstreams = ['u1', 'u2', 'u3'].map((upstream, at) => ({
    ...{ upstream, address: `127.0.0.1:${9000 + at}`, incarnation: 1, sequence: 0 },
  }));

  private readonly lastRevisions = new Map<string, number>();

  /** Order of the record that each host has or, if it has none, had last, by upstream. */
  private readonly seen = new Map<FakeHost, Map<string, { isPresent: boolean; order: number }>>();

  constructor(random: () => number) {
    this.fleet = new FakeFleet({ controlHosts: 3, entryHosts: 5, random });
  }

  /** Each step chooses its hosts, upstreams and values with two random numbers. */
  readonly steps: Readonly<Record<string, (a: number, b: number) => unknown>> = {
    cutLink: (a, b) => this.fleet.network.cuts.add(`${pick(names, a)}>${pick(names, b)}`),
    restoreLink: (a, b) => this.fleet.network.cuts.delete(`${pick(names, a)}>${pick(names, b)}`),
    isolate: (a) => this.fleet.network.cutOff(pick(names, a), names),
    restart: (a) => this.restartHost(pick(entryNames, a)),
    restartAlone: (a) => this.restartAlone(pick(entryNames, a)),
    loseMessages: (a) => Object.assign(this.fleet.network, { lossShare: pick([0, 0.1, 0.5], a) }),
    delayMessages: (a) => Object.assign(this.fleet.network, { delayMs: pick([1, 40, 400], a) }),
    commit: (a) => this.commitNext([pick(controlNames, a)]),
    changeLeader: (a) => Object.assign(this.fleet.control, { leader: pick(controlNames, a) }),
    changeMajority: (a) => Object.assign(this.fleet.control, { hasMajority: a % 2 === 0 }),
    announce: (a, b) => this.announce(a, pick(entryNames, b), 'serving', 1000 + (b % 11_000)),
    announceAgain: (a, b) => this.announce(a, pick(entryNames, b), 'serving', 8000),
    leave: (a, b) => this.announce(a, pick(entryNames, b), 'leaving', 5000),
    replace: (a, b) => {
      Object.assign(pick(this.upstreams, a), { sequence: 0 }).incarnation += 1;
      this.announce(a, pick(entryNames, b), 'serving', 5000);
    },
    wait: (a) => this.advanceBy(pick([50, 300, 1500, 6000], a)),
    waitLong: () => this.advanceBy(3000),
    waitShort: () => this.advanceBy(200),
  };

  async advanceBy(milliseconds: number): Promise<void> {
    for (let remaining = milliseconds; remaining > 0; remaining -= 100) {
      await this.fleet.clock.advanceBy(Math.min(remaining, 100));
      this.checkHosts();
    }
  }

  /** Removes all faults and checks that every host converges to the same view. */
  async checkAgreement(): Promise<void> {
    const { network, control, clock } = this.fleet;
    network.cuts.clear();
    Object.assign(network, { lossShare: 0, delayMs: 1 });
    control.hasMajority = true;
    controlNames.forEach((name) => control.applied.set(name, control.committed));
    await this.advanceBy(17_000);
    const views = this.fleet.listHosts().map(({ watcher, hosts, upstreams }) => {
      if (watcher) expect(watcher.state?.revision).toBe(control.committed.revision);
      const live = hosts.listLive(clock.now()).map(({ host }) => host);
      return JSON.stringify([live, upstreams.listServing('history', clock.now())]);
    });
    expect([...new Set(views)]).toHaveLength(1);
    expect(JSON.parse(views[0] ?? '')[0]).toEqual(names);
  }

  checkHosts(): void {
    this.fleet.listHosts().forEach((host) => {
      const revision = host.watcher?.state?.revision;
      if (revision !== undefined) {
        const last = this.lastRevisions.get(host.name) ?? 0;
        expect(revision, `${host.name} reverted to an older revision`).toBeGreaterThanOrEqual(last);
        expect(revision).toBeLessThanOrEqual(this.fleet.control.committed.revision);
        this.lastRevisions.set(host.name, revision);
      }
      this.checkUpstreams(host);
    });
  }

  // A host must not accept a record that it has dropped, nor a serving record of an incarnation
  // that it has seen leaving.
  private checkUpstreams(host: FakeHost): void {
    const seen = this.seen.get(host) ?? new Map<string, { isPresent: boolean; order: number }>();
    this.seen.set(host, seen);
    const current = new Map(
      host.upstreams
        .listRecords(this.fleet.clock.now())
        .map(({ upstream, incarnation, state, sequence }) => [
          upstream,
          incarnation * 1_000_000 + (state === 'leaving' ? 100_000 : 0) + sequence,
        ]),
    );
    seen.forEach((last, key) => {
      const order = current.get(key);
      if (order === undefined) seen.set(key, { isPresent: false, order: last.order });
      else {
        const lowest = last.isPresent ? last.order : last.order + 1;
        expect(order, `${host.name} accepted an older record of ${key}`).toBeGreaterThanOrEqual(
          lowest,
        );
      }
    });
    current.forEach((order, key) => seen.set(key, { isPresent: true, order }));
  }

  private announce(
    index: number,
    host: string,
    state: 'serving' | 'leaving',
    leaseMs: number,
  ): void {
    const upstream = pick(this.upstreams, index);
    upstream.sequence += 1;
    this.fleet.announce(host, { ...upstream, state, leaseMs });
  }

  private commitNext(appliedBy: readonly string[]): void {
    if (this.fleet.control.hasMajority) this.fleet.control.commitNext(appliedBy);
  }

  private restartHost(name: string): void {
    this.fleet.killHost(name);
    this.fleet.startHost(name);
  }

  // Only this host receives a new revision. It restarts while the control group has no majority and
  // its peers have an older revision.
  private async restartAlone(name: string): Promise<void> {
    const { network, control } = this.fleet;
    const others = entryNames.filter((other) => other !== name);
    others.forEach((other) => network.cutOff(other, [...controlNames, name]));
    this.commitNext([]);
    await this.advanceBy(1000);
    control.hasMajority = false;
    others
      .flatMap((other) => [`${name}>${other}`, `${other}>${name}`])
      .forEach((direction) => network.cuts.delete(direction));
    this.restartHost(name);
  }
}

const stepKinds = Object.keys(new FuzzRun(() => 0).steps);

describe('membership and presets under faults', () => {
  // Guards against sequences of faults that no other test covers: a host must not use a drained
  // upstream again, and it must not go back to an older preset revision.
  it(
    `should never revert to older state, and converge after the faults (FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns})`,
    async () => {
      const stepArbitrary = fc.tuple(fc.constantFrom(...stepKinds), fc.nat(), fc.nat());
      await fc.assert(
        fc.asyncProperty(
          fc.array(stepArbitrary, { minLength: 20, maxLength: 60 }),
          fc.infiniteStream(fc.double({ min: 0, max: 0.999, noNaN: true })),
          async (steps, stream) => {
            const run = new FuzzRun(() => Number(stream.next().value));
            try {
              await run.advanceBy(1000);
              for (const [kind, a, b] of steps) {
                await run.steps[kind]?.(a, b);
                run.checkHosts();
              }
              await run.checkAgreement();
            } finally {
              await run.fleet.stopAll();
            }
          },
        ),
        // Shrinking takes minutes; FUZZ_SHRINK=1 enables it.
        { seed, numRuns, endOnFailure: process.env.FUZZ_SHRINK !== '1' },
      );
    },
    timeoutMs,
  );
});
