import { describe, expect, it } from 'vitest';

import TeamQuotas from '../../src/application/teams/TeamQuotas.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const team = { name: 'depots', keys: [], requestsPerSecond: 300, burst: 300 };

describe('quotas of a host that starts again', () => {
  // Guards against refusals at all hosts after the whole fleet has stopped, when none of them can
  // tell what the teams have left.
  it.each([
    { startMs: 950, admitted: 3 },
    { startMs: 0, admitted: 0 },
  ])('should have what its part earned in $startMs ms', async ({ startMs, admitted }) => {
    const clock = new FakeClock();
    const quotas = new TeamQuotas({
      ...{
        clock,
        log: new SilentLog(),
        random: { next: () => 0.5, createId: () => '', createKey: () => '' },
      },
      settings: { windowMs: 5000, overshoot: 0, slack: 0 },
      readTeams: () => [team],
      ...{ failureDomains: 3, countHosts: () => 30, isFirstStart: false },
    });
    await clock.advanceBy(startMs);
    const decisions = Array.from({ length: 20 }, () => quotas.admitRequest(team.name));

    expect(decisions.filter((decision) => decision?.isAdmitted)).toHaveLength(admitted);
  });
});
