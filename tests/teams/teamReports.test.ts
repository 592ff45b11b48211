import { describe, expect, it } from 'vitest';

import decodeDomainMessage from '../../src/adapters/udp/decodeDomainMessage.ts';
import encodeDomainMessage from '../../src/adapters/udp/encodeDomainMessage.ts';
import splitDomainMessage from '../../src/adapters/udp/splitDomainMessage.ts';
import QuotaSums from '../../src/application/teams/QuotaSums.ts';
import { emptyDomainMessage } from '../../src/domain/fleet/DomainMessage.ts';
import ReportedCounts from '../../src/domain/teams/ReportedCounts.ts';

const row = { account: 7, admitted: 5, asked: 9, level: undefined };
const rows = { depots: row, shippers: { ...row, level: 3 } };
const message = { ...emptyDomainMessage, teams: { rows, hosts: 30, hasLevels: true } };

describe('reports of requests of teams', () => {
  it('should be the same after encoding and decoding', () => {
    const decoded = decodeDomainMessage(JSON.parse(JSON.stringify(encodeDomainMessage(message))));

    expect(decoded).toEqual(message);
  });

  it('should be split into halves', () => {
    const parts = splitDomainMessage(message)?.map(({ teams }) => teams);

    expect(parts?.map((teams) => Object.keys(teams?.rows ?? {}))).toEqual([
      ['depots'],
      ['shippers'],
    ]);
    expect(parts?.every((teams) => teams?.hosts === 30 && teams.hasLevels)).toBe(true);
  });

  it.each([
    { t: [] },
    { t: { depots: 5 } },
    { t: { depots: [1] } },
    { t: { depots: [1, -1] } },
    { t: { depots: [1, 1.5] } },
    { t: { depots: [1, 1e300] } },
    { t: { depots: [1_000_000, 1] } },
    { t: { depots: [1, 2, 3, 4, 5] } },
    { t: {}, h: -1 },
    { t: {}, v: 2 },
  ])('should be refused when malformed: %j', (content) => {
    expect(decodeDomainMessage(content)).toBeUndefined();
  });

  it.each(['__proto__', 'constructor', ''])('should allow the team name "%s"', (team) => {
    const named = { ...message, teams: { rows: { ['depots']: row, [team]: row } } };
    const decoded = decodeDomainMessage(JSON.parse(JSON.stringify(encodeDomainMessage(named))));

    expect(Object.keys(decoded?.teams?.rows ?? {})).toContain(team);
  });
});

describe('ReportedCounts', () => {
  const create = (): ReportedCounts => {
    const counts = new ReportedCounts(0);
    counts.recordRow('depots', { account: 7, admitted: 100, asked: 100 }, 0);
    return counts;
  };

  // Guards against totals from before a hub started that are charged again.
  it('should not count what a source reported before it was known', () => {
    const first = new ReportedCounts(0).recordRow('depots', row, 0);

    expect(first).toBeUndefined();
  });

  it.each([
    { title: 'a lost datagram', next: { account: 7, admitted: 110, asked: 120 }, news: [10, 20] },
    {
      title: 'one that was overtaken',
      next: { account: 7, admitted: 90, asked: 90 },
      news: [0, 0],
    },
    { title: 'a restart', next: { account: 8, admitted: 3, asked: 4 }, news: [3, 4] },
  ])('should count requests once after $title', ({ next, news: [admitted, asked] }) => {
    const counts = create();

    expect(counts.recordRow('depots', next, 100)).toEqual({ admitted, asked });
    expect(counts.recordRow('depots', next, 200)).toEqual({ admitted: 0, asked: 0 });
  });
});

describe('QuotaSums', () => {
  // Guards against hosts that use a sum that does not contain their own requests.
  it('should tell only hosts that are heard', () => {
    const sums = new QuotaSums();
    sums.acceptReport({ rows: {} }, 'first', 0);
    sums.acceptReport({ rows: {} }, 'second', 1500);

    expect([...sums.listHosts(1700)]).toEqual(['second']);
    expect(sums.takeDigest(false, 1700).hosts).toBe(1);
  });
});
