import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import EjectionTracker from '../../src/domain/detection/EjectionTracker.ts';
import IssuedDeadlines from '../../src/domain/detection/IssuedDeadlines.ts';
import CoordinatorLeases from '../../src/domain/detection/CoordinatorLeases.ts';
import SimulatedFleet from '../fixtures/SimulatedFleet.ts';
import type { FleetParts } from '../fixtures/FleetOptions.ts';
import readFuzzSettings from '../fixtures/readFuzzSettings.ts';

const { parameters, timeoutMs } = readFuzzSettings('floor fuzz', 20);
const { seed, numRuns: runs } = parameters;
const hosts = 5;
// Presets name up to this number of entry hosts, and as many run.
const maxHosts = 8;
const upstreams = 7;

type Model = Record<string, never>;

type FleetCommand = fc.AsyncCommand<Model, SimulatedFleet>;

class Step implements FleetCommand {
  private readonly text: string;

  private readonly apply: (fleet: SimulatedFleet) => void;

  private readonly thenMs: number;

  constructor(text: string, thenMs: number, apply: (fleet: SimulatedFleet) => void) {
    this.text = text;
    this.thenMs = thenMs;
    this.apply = apply;
  }

  check(): boolean {
    return true;
  }

  async run(_model: Model, fleet: SimulatedFleet): Promise<void> {
    this.apply(fleet);
    await fleet.advanceBy(this.thenMs);
    if (fleet.failures.length > 0) throw new Error(fleet.failures.join('; '));
  }

  toString(): string {
    return `${this.text}, then ${this.thenMs} ms`;
  }
}

const host = fc.nat(maxHosts - 1);
const upstream = fc.nat(upstreams - 1);
const pause = fc.nat(1500);
const severity = fc.constantFrom(0, 0.3, 0.5, 1, 1.5, 2);

function createStep<Values extends unknown[]>(
  name: string,
  values: { [Key in keyof Values]: fc.Arbitrary<Values[Key]> },
  apply: (fleet: SimulatedFleet, ...values: Values) => void,
): fc.Arbitrary<FleetCommand> {
  return fc
    .tuple(pause, fc.tuple(...values))
    .map(
      ([thenMs, drawn]) =>
        new Step(`${name}(${drawn})`, thenMs, (fleet) => apply(fleet, ...(drawn as Values))),
    );
}

const steps: fc.Arbitrary<FleetCommand>[] = [
  createStep<[number]>('suspect', [upstream], (fleet, index) =>
    Array.from({ length: maxHosts }, (_, coordinator) =>
      fleet.setOutlier(coordinator, `u${index}`, 1),
    ),
  ),
  createStep<[number, number, number]>('suspectAt', [host, upstream, severity], (fleet, a, b, c) =>
    fleet.setOutlier(a, `u${b}`, c),
  ),
  createStep<[number, number, boolean]>('cut', [host, host, fc.boolean()], (fleet, ...cut) =>
    fleet.setCut(...cut),
  ),
  createStep<[number, number, boolean]>('hide', [host, host, fc.boolean()], (fleet, ...hide) =>
    fleet.setHidden(...hide),
  ),
  createStep<[number, number]>('pause', [host, fc.nat(4000)], (fleet, ...stop) =>
    fleet.pauseHost(...stop),
  ),
  createStep<[number]>('restart', [host], (fleet, index) => fleet.restartHost(index)),
  createStep<[number, 'drain' | 'lapse' | 'return']>(
    'change',
    [upstream, fc.constantFrom('drain', 'lapse', 'return')],
    (fleet, ...change) => fleet.changeUpstream(...change),
  ),
  createStep<[number, number]>(
    'usePreset',
    [fc.integer({ min: 1, max: 6 }), fc.integer({ min: 2, max: maxHosts })],
    (fleet, floor, entryHosts) => fleet.changePreset({ floor, entryHosts }),
  ),
  createStep<[number, boolean]>('missPresets', [host, fc.boolean()], (fleet, ...miss) =>
    fleet.setMissing(...miss),
  ),
  createStep<[number]>(
    'split',
    [fc.oneof(fc.constant(0), fc.nat(2 ** maxHosts - 1))],
    (fleet, mask) => fleet.setSplit(mask),
  ),
  createStep<[number]>('loss', [fc.constantFrom(0, 0, 0.1, 0.4)], (fleet, rate) => {
    fleet.lossRate = rate;
  }),
];

let ejections = 0;

function checkFleet(parts: FleetParts, count: number) {
  const property = fc.asyncProperty(
    fc.commands(steps, { maxCommands: 60, size: 'max' }),
    fc.integer(),
    fc.integer({ min: 2, max: 6 }),
    async (commands, fleetSeed, floor) => {
      const fleet = new SimulatedFleet({ ...parts, seed: fleetSeed, hosts, upstreams, floor });
      await fleet.advanceBy(5000);
      try {
        await fc.asyncModelRun(() => ({ model: {}, real: fleet }), commands);
      } finally {
        ejections += fleet.ejections;
        await fleet.close();
      }
    },
  );
  return fc.check(property, { seed, numRuns: count, endOnFailure: true });
}

function setOutliers(fleet: SimulatedFleet, count: number): void {
  Array.from({ length: count * maxHosts }, (_, index) =>
    fleet.setOutlier(index % maxHosts, `u${Math.floor(index / maxHosts)}`, 1),
  );
}

describe(`floor under faults, FUZZ_SEED=${seed} FUZZ_RUNS=${runs}`, () => {
  it(
    'should never leave a service below its floor or with two coordinators',
    async () => {
      ejections = 0;
      const result = await checkFleet({}, runs);

      const report = `${String(result.errorInstance)}\n${fc.defaultReportMessage(result)}`;
      expect(result.failed, report).toBe(false);
      // Guards against runs that pass because nothing was ejected.
      expect(ejections).toBeGreaterThan(runs);
    },
    timeoutMs,
  );

  // Found by FUZZ_SEED=4: guards against a coordinator that misses a raised floor and goes on with
  // the leases of reporters that have it.
  it.each([0, 1, 2, 3, 4])('should keep a raised floor that host %i misses', async (missing) => {
    const fleet = new SimulatedFleet({ seed: 4, hosts, upstreams, floor: 2 });
    await fleet.advanceBy(5000);
    setOutliers(fleet, 5);
    await fleet.advanceBy(1000);
    expect(fleet.ejections).toBeGreaterThan(0);
    fleet.setMissing(missing, true);
    fleet.changePreset({ floor: 6, entryHosts: hosts });
    await fleet.advanceBy(15_000);
    await fleet.close();

    expect(fleet.failures).toEqual([]);
  });

  // Found by FUZZ_SEED=4: guards against a majority of the old number of hosts that is cut off
  // while a majority of the new number is formed without it.
  it.each([3, 5, 6])(
    'should have one coordinator when a split %i misses added hosts',
    async (split) => {
      const fleet = new SimulatedFleet({ seed: 4, hosts: 3, upstreams, floor: 2 });
      await fleet.advanceBy(5000);
      setOutliers(fleet, 5);
      await fleet.advanceBy(1000);
      expect(fleet.ejections).toBeGreaterThan(0);
      fleet.setSplit(split);
      fleet.changePreset({ floor: 2, entryHosts: 5 });
      await fleet.advanceBy(15_000);
      await fleet.close();

      expect(fleet.failures).toEqual([]);
    },
  );

  // Guards against an oracle that would not notice two coordinators.
  it('should notice when leases do not exclude a second coordinator', async () => {
    class FreeLeases extends CoordinatorLeases {
      override grantLease(_service: string, _coordinator: unknown, now: number): number {
        return now + 3000;
      }
    }
    const createLeases = (startedAt: number) => new FreeLeases({ startedAt });
    const result = await checkFleet({ createLeases }, 200);

    expect(result.failed).toBe(true);
    expect(String(result.errorInstance)).toMatch(/two coordinators/);
  });

  // Guards against an oracle that would not notice leases that are still observed.
  it('should notice when the floor counts only the newest ejections', async () => {
    class NoDeadlines extends IssuedDeadlines {
      override mayBeObserved(): boolean {
        return false;
      }
    }
    const times = { baseEjectionMs: 2000, maxEjectionMs: 8000, probationMs: 500, forgetMs: 20_000 };
    const createTracker = () => new EjectionTracker({ times, issued: new NoDeadlines() });
    const result = await checkFleet({ createTracker }, 200);

    expect(result.failed).toBe(true);
    expect(String(result.errorInstance)).toMatch(/together the hosts leave out/);
  });
});
