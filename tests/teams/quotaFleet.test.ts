import { afterEach, describe, expect, it } from 'vitest';

import QuotaFleet from '../fixtures/QuotaFleet.ts';
import type { QuotaFleetOptions, TeamLoad } from '../fixtures/QuotaFleet.ts';

const settings = { windowMs: 5000, overshoot: 0.1, slack: 20 };
const usualShare = 0.625;
const maxMinutes = 240_000;

function createLoad(usual: number, callers: number): TeamLoad {
  const limit = usual / usualShare;
  const team = { name: `team-${usual}`, keys: [], requestsPerSecond: limit, burst: limit };
  return { usual, callers, team };
}

const loads = [createLoad(2, 24), createLoad(20, 60), createLoad(316, 300)];
const smallLoads = [createLoad(2, 24), createLoad(8, 32), createLoad(63, 120)];

function computeBound({ team }: TeamLoad): number {
  const { requestsPerSecond = 0, burst } = team;
  return (5 * requestsPerSecond + burst) * (1 + settings.overshoot) + settings.slack;
}

describe('quotas of teams over all hosts', () => {
  let fleet: QuotaFleet | undefined;

  afterEach(async () => {
    await fleet?.stop();
    fleet = undefined;
  });

  /** Starts a fleet and lets its teams send as usual. */
  async function startFleet(
    options: Pick<QuotaFleetOptions, 'hosts'> & Partial<QuotaFleetOptions>,
  ): Promise<QuotaFleet> {
    fleet = new QuotaFleet({ seed: 1, loads, settings, lossShare: 0.01, ...options });
    await fleet.run(4000);
    fleet.resetCounts();
    return fleet;
  }

  function setFactor(started: QuotaFleet, factor: number): void {
    Object.assign(started, {
      factors: Object.fromEntries(started.teams.map(({ name }) => [name, factor])),
    });
  }

  /** Prints and checks the most requests of each team that ran in a window. */
  function expectBound(started: QuotaFleet, title: string, teamLoads = loads): void {
    const shares = teamLoads.map((load) => {
      const { name } = load.team;
      const share = started.measureMost(name) / computeBound(load);
      return { name, share };
    });
    const texts = shares.map(({ name, share }) => `${name} ${share.toFixed(2)}`);
    process.stdout.write(`quotas, ${title}: most in a window by bound: ${texts.join(', ')}\n`);
    shares.forEach(({ name, share }) =>
      expect({ name, isKept: share <= 1 }).toEqual({ name, isKept: true }),
    );
  }

  /** Prints and checks the share of requests below the limit that were refused. */
  function expectServed(started: QuotaFleet, title: string, teamLoads = loads): void {
    const shares = teamLoads.map(({ team: { name } }) => ({
      name,
      refused: started.measureRefused(name),
    }));
    const texts = shares.map(({ name, refused }) => `${name} ${(100 * refused).toFixed(2)}%`);
    process.stdout.write(`quotas, ${title}: refused below the limit: ${texts.join(', ')}\n`);
    shares.forEach(({ name, refused }) =>
      expect({ name, isServed: refused < 0.005 }).toEqual({ name, isServed: true }),
    );
  }

  // Guards against callers below their limit that are refused, and against a team that exceeds its
  // limit because hosts hear late of each other.
  it.each([
    { hosts: 30, seed: 1, teamLoads: loads },
    { hosts: 30, seed: 2, teamLoads: smallLoads },
    { hosts: 90, seed: 1, teamLoads: loads },
    { hosts: 90, seed: 2, teamLoads: smallLoads },
    { hosts: 300, seed: 1, teamLoads: smallLoads },
  ])(
    'should serve usual load and bound seven times of it: $hosts hosts, seed $seed',
    async ({ hosts, seed, teamLoads }) => {
      const started = await startFleet({ hosts, seed, loads: teamLoads });
      await started.run(10_000);
      expectServed(started, `${hosts} hosts, seed ${seed}`, teamLoads);
      setFactor(started, 7);
      await started.run(7000);
      expectBound(started, `${hosts} hosts, seed ${seed}, surge`, teamLoads);
    },
    maxMinutes,
  );

  // Guards against cut-off hosts that each use the quota of all.
  it.each([
    { hosts: 30, share: 0.5, cutAtMs: -500 },
    { hosts: 30, share: 0.9, cutAtMs: 2000 },
    { hosts: 90, share: 0.9, cutAtMs: -500 },
    { hosts: 90, share: 0.5, cutAtMs: -100 },
    { hosts: 90, share: 0.5, cutAtMs: 2000 },
    { hosts: 300, share: 0.9, cutAtMs: -300 },
  ])(
    'should keep the bound while hosts are cut off: $share of $hosts hosts, $cutAtMs ms into the surge',
    async ({ hosts, share, cutAtMs }) => {
      const teamLoads = hosts > 90 ? smallLoads : loads;
      const started = await startFleet({ hosts, loads: teamLoads });
      await started.run(5000);
      const cut = started.drawHosts(share).map(({ address }) => address);
      if (cutAtMs > 0) {
        setFactor(started, 7);
        await started.run(cutAtMs);
      }
      started.cut = new Set(cut);
      if (cutAtMs < 0) {
        await started.run(-cutAtMs);
        setFactor(started, 7);
      }
      await started.run(hosts > 90 ? 7000 : 14_000);
      started.cut = new Set();
      await started.run(4000);
      expectBound(started, `${share} of ${hosts} hosts cut off at ${cutAtMs} ms`, teamLoads);
    },
    maxMinutes,
  );

  // Guards against hosts that count again, or forget, what was used before their restart.
  it.each([30, 90])(
    'should keep the bound over restarts of a third of %i hosts',
    async (hosts) => {
      const started = await startFleet({ hosts });
      setFactor(started, 7);
      await started.run(3000);
      await started.restartHosts(started.drawHosts(1 / 3), 1000);
      await started.run(6000);
      expectBound(started, `restarts of a third of ${hosts} hosts`);
      setFactor(started, 1);
      await started.run(4000);
      started.resetCounts();
      await started.run(8000);
      expectServed(started, `${hosts} hosts after restarts`);
    },
    maxMinutes,
  );

  it(
    'should keep a lower limit one window after it is active',
    async () => {
      const started = await startFleet({ hosts: 90 });
      setFactor(started, 7);
      await started.run(4000);
      const lowered = loads.map(({ usual, callers }) => createLoad(usual / 4, callers));
      started.teams = loads.map(({ team }, index) => ({
        ...team,
        requestsPerSecond: lowered[index]?.team.requestsPerSecond,
        burst: lowered[index]?.team.burst ?? 0,
      }));
      // Hosts know the preset from now on; the windows that begin later are measured.
      started.resetCounts();
      await started.run(9000);
      const names = loads.map(({ team: { name } }, index) => ({
        ...createLoad(0, 0),
        team: { ...(lowered[index] ?? createLoad(0, 0)).team, name },
      }));
      expectBound(started, 'a quarter of the limit by a new preset', names);
    },
    maxMinutes,
  );

  // Guards against datagrams that only carry counts while no team is near its limit.
  it.each([30, 90])(
    'should send no more datagrams for usual load: %i hosts',
    async (hosts) => {
      const measure = async (hasQuotas: boolean): Promise<number> => {
        const started = await startFleet({ hosts, hasQuotas });
        await started.run(6000);
        const { length } = started.datagrams.sent;
        const bytes = started.datagrams.sent.reduce((sum, message) => sum + message.bytes, 0);
        const perHost = (count: number): string => (count / hosts / 6).toFixed(1);
        process.stdout.write(
          `quotas ${hasQuotas ? 'on' : 'off'}, ${hosts} hosts: ${perHost(length)} datagrams and ${perHost(bytes)} bytes sent per host and second\n`,
        );
        await started.stop();
        fleet = undefined;
        return length;
      };

      expect(await measure(true)).toBeLessThan(1.05 * (await measure(false)));
    },
    maxMinutes,
  );
});
