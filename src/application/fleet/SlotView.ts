import estimateLoad from '../../domain/requests/estimateLoad.ts';
import type UpstreamStatements from '../../domain/statements/UpstreamStatements.ts';
import type Clock from '../../ports/Clock.ts';
import type LoadSource from '../requests/LoadSource.ts';
import type FleetView from './FleetView.ts';

/** Options of the view. */
export interface SlotViewOptions {
  readonly clock: Clock;
  readonly view: Pick<FleetView, 'findUpstream'>;
  readonly loads: Pick<LoadSource, 'readLoad'>;
  readonly statements: Pick<UpstreamStatements, 'decideAccess' | 'hasLimit'>;
  /** Half-life of a reported load, in milliseconds. */
  readonly loadHalfLifeMs: number;
}

/** What this host knows of free slots of upstreams. */
export default class SlotView {
  private readonly options: SlotViewOptions;

  constructor(options: SlotViewOptions) {
    this.options = options;
  }

  /**
   * Whether an upstream should run a request at once: it has a free slot and states neither a limit
   * nor that it takes no requests.
   */
  hasFreeSlot(upstream: string): boolean {
    const { clock, view, loads, statements, loadHalfLifeMs } = this.options;
    const record = view.findUpstream(upstream);
    const now = clock.now();
    if (!record || statements.hasLimit(upstream)) return false;
    if (statements.decideAccess(record, now) !== 'open') return false;
    const load = estimateLoad(loads.readLoad(record.service, upstream), now, loadHalfLifeMs);
    return load < record.slots;
  }
}
