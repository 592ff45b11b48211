import type UpstreamRecord from '../membership/UpstreamRecord.ts';
import type { Ejection } from './EjectionRecord.ts';

/**
 * The ejections that a host observes: those of upstreams in its own directory, without the
 * mildest ones where they would leave less than the floor.
 */
export default function chooseEjected(options: {
  readonly serving: readonly UpstreamRecord[];
  readonly ejections: readonly Ejection[];
  readonly floor: number;
}): ReadonlySet<string> {
  const { serving, ejections, floor } = options;
  const worst = ejections
    .filter(({ upstream, incarnation }) =>
      serving.some((record) => record.upstream === upstream && record.incarnation === incarnation),
    )
    .sort((a, b) => b.severity - a.severity || (a.upstream < b.upstream ? -1 : 1))
    .map(({ upstream }) => upstream);
  return new Set([...new Set(worst)].slice(0, Math.max(0, serving.length - floor)));
}
