import type CallerRequest from './CallerRequest.ts';

/**
 * Rank of a request when capacity is short, 0 is the highest: that of its team, or else of its
 * route. Undefined when neither has one.
 */
export default function getPriority({
  identity,
  route,
}: Pick<CallerRequest, 'identity' | 'route'>): number | undefined {
  return (identity.kind === 'team' ? identity.team.priority : undefined) ?? route.priority;
}
