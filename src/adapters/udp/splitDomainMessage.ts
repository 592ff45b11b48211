import { emptyDomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type { DomainMessage } from '../../domain/fleet/DomainMessage.ts';

function splitList<Item>(items: readonly Item[]): readonly [readonly Item[], readonly Item[]] {
  const middle = Math.ceil(items.length / 2);
  return [items.slice(0, middle), items.slice(middle)];
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
  if (lastSuspicions.length + lastUpstreams.length + lastRetries.length === 0) return undefined;
  return [
    {
      ...message,
      suspicions: firstSuspicions,
      upstreams: firstUpstreams,
      retries: Object.fromEntries(firstRetries),
    },
    {
      ...emptyDomainMessage,
      isDigest: message.isDigest,
      suspicions: lastSuspicions,
      upstreams: lastUpstreams,
      retries: Object.fromEntries(lastRetries),
    },
  ];
}
