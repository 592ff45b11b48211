import type PresetState from '../../domain/presets/PresetState.ts';
import type RouteTable from '../../ports/RouteTable.ts';

/** The active preset of this host. */
export default interface ActivePreset {
  /** Undefined after the start of this host until it has confirmed a revision. */
  readonly state: PresetState | undefined;
  readonly routeTable: RouteTable | undefined;
}
