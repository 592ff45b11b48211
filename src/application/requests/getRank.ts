import type RequestRank from '../../domain/admission/RequestRank.ts';
import type CallerRequest from './CallerRequest.ts';

/**
 * Urgency of a request by the priorities of its team and of its route; undefined when neither
 * states one. A priority that is not stated comes after all others.
 */
export default function getRank({
  identity,
  route,
}: Pick<CallerRequest, 'identity' | 'route'>): RequestRank | undefined {
  const team = identity.kind === 'team' ? identity.team.priority : undefined;
  if (team === undefined && route.priority === undefined) return undefined;
  return { team: team ?? Infinity, route: route.priority ?? Infinity };
}
