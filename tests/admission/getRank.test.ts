import { describe, expect, it } from 'vitest';

import getRank from '../../src/application/requests/getRank.ts';
import { createRoute } from '../fixtures/createPreset.ts';

describe('rank of a request', () => {
  const rankRequest = (teamPriority: number | undefined, routePriority: number | undefined) =>
    getRank({
      identity: {
        kind: 'team',
        team: { name: 'depots', keys: [], burst: 0, priority: teamPriority },
      },
      route: createRoute({ priority: routePriority }),
    });

  // Guards against urgent routes of teams without a priority that rank behind everything else.
  it.each([
    { team: 1, route: 0, rank: { team: 1, route: 0 } },
    { team: 1, route: undefined, rank: { team: 1, route: Infinity } },
    { team: undefined, route: 0, rank: { team: 0, route: 0 } },
    { team: undefined, route: undefined, rank: undefined },
  ])('should be $rank for priorities $team and $route', ({ team, route, rank }) => {
    expect(rankRequest(team, route)).toEqual(rank);
  });
});
