import { describe, expect, it } from 'vitest';

import PrometheusMetrics from '../../src/adapters/metrics/PrometheusMetrics.ts';
import { hostTeamCountsSchema } from '../../src/adapters/trpc/metricsMessages.ts';
import TeamReporter from '../../src/application/metrics/TeamReporter.ts';
import { maxTeams } from '../../src/domain/presets/teamLimits.ts';
import TeamCounters from '../../src/domain/teams/TeamCounters.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import createPreset from '../fixtures/createPreset.ts';

const teams = [
  { name: 'depots', keys: ['key-1', 'key-2'], requestsPerSecond: 2.5, burst: 4, priority: 1 },
  { name: 'shippers', keys: [], burst: 0 },
];

function createCounters(results: readonly (readonly [string | undefined, boolean])[]) {
  const counters = new TeamCounters();
  results.forEach(([team, isAdmitted]) =>
    counters.recordResult({ team, refusal: isAdmitted ? undefined : 'team_key_unknown' }),
  );
  return counters;
}

describe('report on teams', () => {
  it('should add up the requests of all hosts and name those that did not answer', async () => {
    const hosts: Record<string, TeamCounters | undefined> = {
      'entry-1': createCounters([
        ['depots', true],
        ['depots', false],
        [undefined, false],
      ]),
      'entry-2': createCounters([
        ['depots', true],
        ['depots', false],
        ['removed', true],
      ]),
      'entry-3': undefined,
    };
    const reporter = new TeamReporter({
      clock: new FakeClock(),
      listEntryHosts: () => Object.keys(hosts),
      openLink: (host) => ({
        close: () => undefined,
        requestTeamCounts: async () => {
          const counts = JSON.parse(JSON.stringify(hosts[host]?.listCounts() ?? null));
          const parsed = hostTeamCountsSchema.safeParse(counts);
          return parsed.success
            ? { ok: true, value: parsed.data }
            : { ok: false, failure: { kind: 'peer_unreachable', message: `${host}: no answer` } };
        },
      }),
      readPreset: () => createPreset({ teams }),
    });

    const report = await reporter.listTeams();

    expect(report).toMatchObject({
      needsKeys: true,
      teams: [
        { name: 'depots', keys: 2, admitted: 2, refused: { team_key_unknown: 2 } },
        { name: 'shippers', keys: 0, admitted: 0, refused: {} },
      ],
      withoutTeam: { admitted: 0, refused: { team_key_unknown: 1 } },
      hosts: ['entry-1', 'entry-2'],
      missingHosts: ['entry-3'],
    });
    expect(JSON.stringify(report)).not.toContain('key-');
  });

  // Guards against a host that runs out of memory because presets rename their teams.
  it('should keep the counts of a bounded number of teams', () => {
    const counters = new TeamCounters();
    Array.from({ length: maxTeams + 10 }, (_, index) => `team-${index}`).forEach((team) =>
      counters.recordResult({ team, refusal: undefined }),
    );

    expect(counters.listCounts()).toHaveLength(maxTeams);
  });

  // Guards against a metric that fills the memory of a host and of those who store its series.
  it('should count 28,000 teams in a bounded number of series', async () => {
    const metrics = new PrometheusMetrics([], { hasProcessMetrics: false });
    Array.from({ length: 28_000 }, (_, index) => `team-${index}`).forEach((team) =>
      metrics.teams.recordResult({ team, refusal: undefined }),
    );

    const text = await metrics.renderMetrics();
    const series = text.split('\n').filter((line) => /^pistachiohoist_team_requests/.test(line));
    expect(series).toHaveLength(101);
    expect(series.at(-1)).toMatch(/\{team="\(other\)",result="admitted"\} 27900$/);
  });
});
