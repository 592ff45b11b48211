import type RequestRank from '../../domain/admission/RequestRank.ts';
import type CallerRequest from './CallerRequest.ts';

/**
 * Urgency of a request by the priorities of its team and of its route; undefined when neither
 * states one. The route's priority stands in for that of a team which states none, and a priority
 * that is not stated at all comes after all others.
 */
export default function getRank({
  identity,
  route,
}: Pick<CallerRequest, 'identity' | 'route'>): RequestRank | undefined {
  const team = identity.kind === 'team' ? identity.team.priority : undefined;
  const decisive = team ?? route.priority;
  return decisive === undefined ? undefined : { team: decisive, route: route.priority ?? Infinity };
}
