import { emptyDomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type { DomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type { QuotaReport } from '../../domain/teams/QuotaCounts.ts';

function splitList<Item>(items: readonly Item[]): readonly [readonly Item[], readonly Item[]] {
  const middle = Math.ceil(items.length / 2);
  return [items.slice(0, middle), items.slice(middle)];
}

function splitTeams(
  teams: QuotaReport | undefined,
): readonly [QuotaReport | undefined, QuotaReport | undefined] {
  if (!teams) return [undefined, undefined];
  const [first, last] = splitList(Object.entries(teams.rows));
  return [
    { ...teams, rows: Object.fromEntries(first) },
    last.length > 0 ? { ...teams, rows: Object.fromEntries(last) } : undefined,
  ];
}

/**
 * Splits a message into two with half of its content each; returns undefined if it has only one
 * item.
 */
export default function splitDomainMessage(
  message: DomainMessage,
): readonly [DomainMessage, DomainMessage] | undefined {
  const [firstSuspicions, lastSuspicions] = splitList(message.suspicions);
  const [firstUpstreams, lastUpstreams] = splitList(message.upstreams);
  const [firstRetries, lastRetries] = splitList(Object.entries(message.retries));
  const [firstTeams, lastTeams] = splitTeams(message.teams);
  const lastCount = lastSuspicions.length + lastUpstreams.length + lastRetries.length;
  if (lastCount === 0 && !lastTeams) return undefined;
  return [
    {
      ...message,
      suspicions: firstSuspicions,
      upstreams: firstUpstreams,
      retries: Object.fromEntries(firstRetries),
      teams: firstTeams,
    },
    {
      ...emptyDomainMessage,
      isDigest: message.isDigest,
      suspicions: lastSuspicions,
      upstreams: lastUpstreams,
      retries: Object.fromEntries(lastRetries),
      teams: lastTeams,
    },
  ];
}
