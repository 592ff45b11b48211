import type PresetState from '../../domain/presets/PresetState.ts';
import type RouteTable from '../../ports/RouteTable.ts';

/** The active preset of this host. */
export default interface ActivePreset {
  /** Undefined after the start of this host until it has confirmed a revision. */
  readonly state: PresetState | undefined;
  readonly routeTable: RouteTable | undefined;
  /**
   * Whether this host was paused and may have missed a newer preset, so that no key of a team is
   * accepted yet; never unless set.
   */
  readonly mayBeOutdated?: boolean;
}
