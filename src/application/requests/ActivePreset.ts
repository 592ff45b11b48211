import type PresetState from '../../domain/presets/PresetState.ts';
import type RouteTable from '../../ports/RouteTable.ts';

/** The preset that this host has activated. */
export default interface ActivePreset {
  /** Undefined until a revision is confirmed after the start. */
  readonly state: PresetState | undefined;
  readonly routeTable: RouteTable | undefined;
}
