import type { RouteSettings } from '../domain/presets/Preset.ts';

/** Finds the route of a request. */
export default interface RouteTable {
  /** Path without query; undefined when no route matches. `host` as the caller named it. */
  findRoute(method: string, path: string, host?: string): RouteSettings | undefined;
}

/** Builds the route table of a preset. */
export interface RouteTableBuilder {
  buildRouteTable(routes: readonly RouteSettings[]): RouteTable;
}
