import { describe, expect, it } from 'vitest';

import type DomainExchange from '../../src/application/fleet/DomainExchange.ts';
import type { SuspicionKind } from '../../src/domain/detection/SuspicionTracker.ts';
import createExchange from '../fixtures/createExchange.ts';
import createRetryLedger from '../fixtures/createRetryLedger.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeDatagrams from '../fixtures/FakeDatagrams.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';

// A daemon may spend this much for control.
const maxBytesPerSecond = 17_000;
const measuredMs = 10_000;

/** Load of each entry host of a failure domain. */
interface Load {
  readonly hosts: number;
  readonly upstreams: number;
  readonly requestsPerSecond: number;
  readonly meanLatencyMs: number;
  /** Requests per second that end with a suspicion of one of the kinds. */
  readonly suspicionsPerSecond: number;
}

interface Action {
  readonly at: number;
  readonly run: () => void;
}

/** The exchanges of all entry hosts of a failure domain, under load. */
class BusyDomain {
  readonly clock = new FakeClock();

  readonly datagrams = new FakeDatagrams();

  readonly exchanges: readonly DomainExchange[];

  private readonly load: Load;

  private readonly random = new SeededRandom(1);

  private readonly stopping: readonly AbortController[];

  private readonly tasks: Promise<void>[];

  constructor(load: Load) {
    this.load = load;
    const addresses = Array.from({ length: load.hosts }, (_, index) => `10.1.0.${index + 10}:7540`);
    this.exchanges = addresses.map((ownAddress) =>
      createExchange(this.datagrams, {
        ...{ clock: this.clock, ownAddress, listPeers: () => addresses },
        ledger: createRetryLedger(() => ({
          history: { used: Math.floor(this.random.next() * 4), left: 1.5 },
          kilns: { used: Math.floor(this.random.next() * 4), left: 0.7 },
        })),
      }),
    );
    this.stopping = addresses.map(() => new AbortController());
    this.tasks = this.stopping.flatMap(
      ({ signal }, index) => this.exchanges[index]?.run(signal) ?? [],
    );
  }

  /** Runs the load and returns the bytes that each host sent, per second. */
  async measureBytes(): Promise<readonly number[]> {
    const startedAt = this.clock.now();
    const actions = this.exchanges
      .flatMap((exchange) => [
        ...this.listRequests(exchange, startedAt),
        ...this.listSuspicions(exchange, startedAt),
      ])
      .filter(({ at }) => at < startedAt + measuredMs)
      .sort((left, right) => left.at - right.at);
    for (const { at, run } of actions) {
      await this.clock.advanceTo(at);
      run();
    }
    await this.clock.advanceTo(startedAt + measuredMs);
    this.stopping.forEach((controller) => controller.abort());
    await this.clock.advanceBy(10);
    await Promise.all(this.tasks);
    const bytesBySender = new Map<string, number>();
    this.datagrams.sent.forEach(({ from, bytes }) =>
      bytesBySender.set(from, (bytesBySender.get(from) ?? 0) + bytes),
    );
    return [...bytesBySender.values()].map((bytes) => (1000 * bytes) / measuredMs);
  }

  private listRequests(exchange: DomainExchange, startedAt: number): readonly Action[] {
    const { requestsPerSecond, meanLatencyMs } = this.load;
    return this.drawInstants(startedAt, requestsPerSecond).flatMap((at) => {
      const upstream = this.drawUpstream();
      const end = (): void => {
        exchange.reportLoad(upstream, 3);
        exchange.reportRecovery(upstream);
        exchange.recordEnd(upstream);
      };
      return [
        { at, run: () => exchange.recordStart(upstream) },
        { at: at + this.drawExponential(meanLatencyMs), run: end },
      ];
    });
  }

  private listSuspicions(exchange: DomainExchange, startedAt: number): readonly Action[] {
    const kinds: readonly SuspicionKind[] = ['unreachable', 'broken', 'silent', 'overdue'];
    return this.drawInstants(startedAt, this.load.suspicionsPerSecond).map((at, index) => {
      const kind = kinds[index % kinds.length] ?? 'broken';
      const suspicion = { upstream: this.drawUpstream(), incarnation: 1, kind };
      return { at, run: () => exchange.reportSuspicion(suspicion, 'request') };
    });
  }

  private drawInstants(startedAt: number, perSecond: number): readonly number[] {
    const count = Math.round((perSecond * measuredMs) / 1000);
    return Array.from({ length: count }, () => startedAt + this.random.next() * measuredMs);
  }

  private drawExponential(mean: number): number {
    return -Math.log(1 - this.random.next()) * mean;
  }

  private drawUpstream(): string {
    const index = Math.floor(this.random.next() * this.load.upstreams);
    return `i-${(0xb30000 + index).toString(16)}f07d`;
  }
}

describe('cost of the exchange in a failure domain', () => {
  // In the incident of the grown Urithi fleet, each host sent every change at once to all others.
  // With 21 hosts the datagrams filled the links, so that presets arrived seconds late.
  it.each([
    { hosts: 12, upstreams: 10, requestsPerSecond: 5, meanLatencyMs: 400, suspicionsPerSecond: 1 },
    { hosts: 26, upstreams: 84, requestsPerSecond: 15, meanLatencyMs: 500, suspicionsPerSecond: 0 },
    {
      hosts: 26,
      upstreams: 84,
      requestsPerSecond: 25,
      meanLatencyMs: 900,
      suspicionsPerSecond: 12,
    },
    {
      hosts: 92,
      upstreams: 1250,
      requestsPerSecond: 20,
      meanLatencyMs: 300,
      suspicionsPerSecond: 2,
    },
  ])(
    'should stay below 17 KB/s for each of $hosts hosts with $requestsPerSecond requests/s and $suspicionsPerSecond suspicions/s',
    async (load) => {
      const bytesPerSecond = await new BusyDomain(load).measureBytes();

      process.stdout.write(
        `exchange of ${load.hosts} hosts: ${Math.round(Math.max(...bytesPerSecond))} bytes sent ` +
          'per second by the busiest host\n',
      );
      expect(bytesPerSecond).toHaveLength(load.hosts);
      expect(Math.max(...bytesPerSecond)).toBeLessThan(maxBytesPerSecond);
    },
  );
});
