import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import FakeFleet from '../fixtures/FakeFleet.ts';
import type { FakeHost } from '../fixtures/FakeFleet.ts';

const seed = Number(process.env.FUZZ_SEED ?? 20_261_204);
const numRuns = Number(process.env.FUZZ_RUNS ?? 6);
const controlHosts = 3;
const entryHosts = 5;

type Step =
  | { readonly kind: 'cut' | 'heal'; readonly from: number; readonly to: number }
  | { readonly kind: 'isolate' | 'restart' | 'strand'; readonly host: number }
  | { readonly kind: 'loss'; readonly share: number }
  | { readonly kind: 'delay'; readonly milliseconds: number }
  | { readonly kind: 'commit'; readonly follower: number }
  | { readonly kind: 'leader'; readonly host: number }
  | { readonly kind: 'majority'; readonly hasMajority: boolean }
  | {
      readonly kind: 'announce';
      readonly host: number;
      readonly at: number;
      readonly lease: number;
    }
  | { readonly kind: 'leave' | 'renew_upstream'; readonly host: number; readonly at: number }
  | { readonly kind: 'advance'; readonly milliseconds: number };

const hostArbitrary = fc.nat(controlHosts + entryHosts - 1);
const controlArbitrary = fc.nat(controlHosts - 1);
const entryArbitrary = fc.nat(entryHosts - 1);
const upstreamArbitrary = fc.nat(2);
const announceArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constant('announce' as const),
  host: entryArbitrary,
  at: upstreamArbitrary,
  lease: fc.integer({ min: 1000, max: 12_000 }),
});
const advanceArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constant('advance' as const),
  milliseconds: fc.constantFrom(50, 300, 1500, 6000),
});
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('cut' as const, 'heal' as const),
    from: hostArbitrary,
    to: hostArbitrary,
  }),
  fc.record({ kind: fc.constantFrom('isolate' as const), host: hostArbitrary }),
  fc.record({
    kind: fc.constantFrom('restart' as const, 'strand' as const),
    host: entryArbitrary,
  }),
  fc.record({ kind: fc.constant('loss' as const), share: fc.constantFrom(0, 0.1, 0.5) }),
  fc.record({ kind: fc.constant('delay' as const), milliseconds: fc.constantFrom(1, 40, 400) }),
  fc.record({ kind: fc.constant('commit' as const), follower: controlArbitrary }),
  fc.record({ kind: fc.constant('leader' as const), host: controlArbitrary }),
  fc.record({ kind: fc.constant('majority' as const), hasMajority: fc.boolean() }),
  announceArbitrary,
  announceArbitrary,
  fc.record({
    kind: fc.constantFrom('leave' as const, 'renew_upstream' as const),
    host: entryArbitrary,
    at: upstreamArbitrary,
  }),
  advanceArbitrary,
  advanceArbitrary,
  advanceArbitrary,
);

/** Applies steps to a fleet and checks after each what no host may ever show. */
class Run {
  readonly fleet: FakeFleet;

  private readonly names: readonly string[];

  private readonly upstreams = [0, 1, 2].map((at) => ({
    upstream: `u${at}`,
    address: `127.0.0.1:${9000 + at}`,
    incarnation: 1,
    sequence: 0,
  }));

  private readonly shown = new Map<string, number>();

  private readonly held = new Map<FakeHost, Map<string, readonly number[]>>();

  private readonly dropped = new Map<FakeHost, Map<string, readonly number[]>>();

  constructor(random: () => number) {
    this.fleet = new FakeFleet({ controlHosts, entryHosts, random });
    this.names = [...this.fleet.hosts.keys()];
  }

  async applyStep(step: Step): Promise<void> {
    const { network, control } = this.fleet;
    const name = (index: number): string => this.names[index] ?? '';
    const entry = (index: number): string => `e${index + 1}`;
    switch (step.kind) {
      case 'cut':
        network.cuts.add(`${name(step.from)}>${name(step.to)}`);
        break;
      case 'heal':
        network.cuts.delete(`${name(step.from)}>${name(step.to)}`);
        break;
      case 'isolate':
        network.cutOff(name(step.host), this.names);
        break;
      case 'restart':
        this.fleet.killHost(entry(step.host));
        this.fleet.startHost(entry(step.host));
        break;
      case 'strand':
        await this.strandHost(entry(step.host));
        break;
      case 'loss':
        network.lossShare = step.share;
        break;
      case 'delay':
        network.delayMs = step.milliseconds;
        break;
      case 'commit':
        if (control.hasMajority) control.commitNext([`c${step.follower + 1}`]);
        break;
      case 'leader':
        control.leader = `c${step.host + 1}`;
        break;
      case 'majority':
        control.hasMajority = step.hasMajority;
        break;
      case 'announce':
      case 'leave':
      case 'renew_upstream':
        this.announce(step);
        break;
      case 'advance':
        await this.advanceBy(step.milliseconds);
        break;
      default:
        throw new Error(`unknown step ${JSON.stringify(step satisfies never)}`);
    }
    this.checkHosts();
  }

  async advanceBy(milliseconds: number): Promise<void> {
    for (let left = milliseconds; left > 0; left -= 100) {
      await this.fleet.clock.advanceBy(Math.min(left, 100));
      this.checkHosts();
    }
  }

  /** Ends all faults; every host must then come to the same view. */
  async checkAgreement(): Promise<void> {
    const { network, control, clock } = this.fleet;
    network.cuts.clear();
    network.lossShare = 0;
    network.delayMs = 1;
    control.hasMajority = true;
    this.fleet.controlNames.forEach((name) => control.applied.set(name, control.committed));
    await this.advanceBy(17_000);
    const now = clock.now();
    const hosts = this.fleet.listHosts();
    hosts.forEach(({ follower }) => {
      if (follower) expect(follower.state?.revision).toBe(control.committed.revision);
    });
    const views = hosts.map((host) =>
      JSON.stringify([
        host.hosts.listLive(now).map(({ host: name, peerAddress }) => [name, peerAddress]),
        host.upstreams.listServing('history', now),
      ]),
    );
    expect([...new Set(views)]).toHaveLength(1);
    expect(JSON.parse(views[0] ?? '')[0]).toHaveLength(controlHosts + entryHosts);
  }

  // One host alone gets a new revision, restarts, and finds no majority and older peers.
  private async strandHost(name: string): Promise<void> {
    const { network, control } = this.fleet;
    const others = this.names.filter((other) => other !== name && other.startsWith('e'));
    others.forEach((other) => network.cutOff(other, [...this.fleet.controlNames, name]));
    if (control.hasMajority) control.commitNext([]);
    await this.advanceBy(1000);
    control.hasMajority = false;
    others.forEach((other) => {
      network.cuts.delete(`${name}>${other}`);
      network.cuts.delete(`${other}>${name}`);
    });
    this.fleet.killHost(name);
    this.fleet.startHost(name);
  }

  private announce(step: {
    readonly kind: 'announce' | 'leave' | 'renew_upstream';
    readonly host: number;
    readonly at: number;
    readonly lease?: number;
  }): void {
    const upstream = this.upstreams[step.at];
    if (!upstream) return;
    if (step.kind === 'renew_upstream') {
      upstream.incarnation += 1;
      upstream.sequence = 0;
    }
    upstream.sequence += 1;
    const state = step.kind === 'leave' ? 'leaving' : 'serving';
    this.fleet.announce(`e${step.host + 1}`, { ...upstream, state, leaseMs: step.lease ?? 5000 });
  }

  private checkHosts(): void {
    this.fleet.listHosts().forEach((host) => {
      const revision = host.follower?.state?.revision;
      if (revision !== undefined) {
        expect(revision, `${host.name} went back`).toBeGreaterThanOrEqual(
          this.shown.get(host.name) ?? 0,
        );
        expect(revision).toBeLessThanOrEqual(this.fleet.control.committed.revision);
        this.shown.set(host.name, revision);
      }
      this.checkUpstreams(host);
    });
  }

  // A version that a host dropped, or an incarnation that it saw leaving, must not return there.
  private checkUpstreams(host: FakeHost): void {
    const held = this.held.get(host) ?? new Map<string, readonly number[]>();
    const dropped = this.dropped.get(host) ?? new Map<string, readonly number[]>();
    const records = host.upstreams.listRecords(this.fleet.clock.now());
    const current = new Map(
      records.map(({ upstream, incarnation, state, sequence }) => [
        upstream,
        [incarnation, state === 'leaving' ? 1 : 0, sequence],
      ]),
    );
    held.forEach((version, key) => {
      if (!current.has(key)) dropped.set(key, version);
    });
    current.forEach(([incarnation = 0, leaving = 0, sequence = 0], key) => {
      [held.get(key) ?? [], dropped.get(key) ?? []].forEach(
        ([lastIncarnation = 0, lastLeaving = 0, lastSequence = 0]) => {
          const isBack =
            incarnation < lastIncarnation ||
            (incarnation === lastIncarnation && leaving < lastLeaving) ||
            (incarnation === lastIncarnation && leaving === lastLeaving && sequence < lastSequence);
          expect(isBack, `${host.name} took an older record of ${key} back`).toBe(false);
        },
      );
      const [i, l, s] = dropped.get(key) ?? [];
      const isDropped = i === incarnation && l === leaving && s === sequence;
      expect(isDropped, `${host.name} took a dropped record of ${key} back`).toBe(false);
    });
    this.held.set(host, current);
    this.dropped.set(host, dropped);
  }
}

describe('membership and presets under faults', () => {
  // Guards against orders of faults that no single test names (R5, R7).
  it(`should never go back and agree after the faults (FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns})`, async () => {
    process.stdout.write(`fuzz membership: FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns}\n`);
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 20, maxLength: 60 }),
        fc.infiniteStream(fc.double({ min: 0, max: 0.999, noNaN: true })),
        async (steps, stream) => {
          const run = new Run(() => Number(stream.next().value));
          try {
            await run.advanceBy(1000);
            for (const step of steps) await run.applyStep(step);
            await run.checkAgreement();
          } finally {
            await run.fleet.stopAll();
          }
        },
      ),
      // Shrinking takes minutes; FUZZ_SHRINK=1 asks for it.
      { seed, numRuns, endOnFailure: process.env.FUZZ_SHRINK !== '1' },
    );
  }, 600_000);
});
