import type UpstreamRecord from '../membership/UpstreamRecord.ts';
import type { Ejection } from './EjectionRecord.ts';

/**
 * Chooses the ejections that a host applies: those of upstreams in its own directory, most severe
 * first, as long as the floor of serving upstreams remains.
 */
export default function chooseEjected(options: {
  readonly serving: readonly UpstreamRecord[];
  readonly ejections: readonly Ejection[];
  readonly floor: number;
}): ReadonlySet<string> {
  const { serving, ejections, floor } = options;
  const mostSevereFirst = ejections
    .filter(({ upstream, incarnation }) =>
      serving.some((record) => record.upstream === upstream && record.incarnation === incarnation),
    )
    .sort((a, b) => b.severity - a.severity || (a.upstream < b.upstream ? -1 : 1))
    .map(({ upstream }) => upstream);
  return new Set([...new Set(mostSevereFirst)].slice(0, Math.max(0, serving.length - floor)));
}
