import type UpstreamRecord from '../../domain/membership/UpstreamRecord.ts';
import chooseSubset from '../../domain/requests/chooseSubset.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';
import type UpstreamPool from './UpstreamPool.ts';

interface Subset {
  readonly upstreams: readonly string[];
  readonly chosen: ReadonlySet<string>;
}

/**
 * Limits a pool to this host's subset of the upstreams; recomputes the subset only when the list of
 * usable upstreams changes.
 */
export default class SubsetPool implements UpstreamPool {
  private readonly pool: UpstreamPool;

  private readonly host: string;

  private readonly subsets = new Map<string, Subset>();

  constructor(options: { readonly pool: UpstreamPool; readonly host: string }) {
    this.pool = options.pool;
    this.host = options.host;
  }

  listUsable(service: string): readonly UsableUpstream[] {
    const usable = this.pool.listUsable(service);
    const chosen = this.getChosen(service, usable);
    return usable.length === chosen.size
      ? usable
      : usable.filter(({ record }) => chosen.has(record.upstream));
  }

  // Does not check the subset: when a new upstream replaces another in the subset, requests that
  // already wait for a connection to the replaced one may still use it.
  isUsable(record: UpstreamRecord): boolean {
    return this.pool.isUsable(record);
  }

  private getChosen(service: string, usable: readonly UsableUpstream[]): ReadonlySet<string> {
    const known = this.subsets.get(service);
    const isSame =
      known?.upstreams.length === usable.length &&
      usable.every(({ record }, index) => record.upstream === known.upstreams[index]);
    if (known && isSame) return known.chosen;
    const upstreams = usable.map(({ record }) => record.upstream);
    const chosen = chooseSubset(this.host, upstreams);
    this.subsets.set(service, { upstreams, chosen });
    return chosen;
  }
}
