import type { RouteSettings } from '../../domain/presets/Preset.ts';
import type RouteTable from '../../ports/RouteTable.ts';
import type { RouteTableBuilder } from '../../ports/RouteTable.ts';
import FindMyWayRouteTable from './FindMyWayRouteTable.ts';

/** Builds route tables that match with find-my-way. */
export default class FindMyWayRouteTableBuilder implements RouteTableBuilder {
  buildRouteTable(routes: readonly RouteSettings[]): RouteTable {
    return new FindMyWayRouteTable(routes);
  }
}
