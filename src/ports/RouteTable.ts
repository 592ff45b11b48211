import type { RouteSettings } from '../domain/presets/Preset.ts';

/** Finds the route of a request. */
export default interface RouteTable {
  /**
   * Finds the route for a path without its query and for the value of the `Host` header; undefined
   * when no route matches.
   */
  findRoute(method: string, path: string, host?: string): RouteSettings | undefined;
}

/** Builds the route table of a preset. */
export interface RouteTableBuilder {
  buildRouteTable(routes: readonly RouteSettings[]): RouteTable;
}
