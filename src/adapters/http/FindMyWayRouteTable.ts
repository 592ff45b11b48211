import createRouter from 'find-my-way';
import type { HTTPMethod, Instance, HTTPVersion } from 'find-my-way';

import type { RouteSettings } from '../../domain/presets/Preset.ts';
import type RouteTable from '../../ports/RouteTable.ts';

/**
 * Matches routes by find-my-way's rules: static parts take precedence over parameters and
 * wildcards.
 */
export default class FindMyWayRouteTable implements RouteTable {
  private readonly router: Instance<HTTPVersion.V1> = createRouter({ maxParamLength: 2000 });

  /** Throws when two routes have the same method and path. */
  constructor(routes: readonly RouteSettings[]) {
    routes.forEach((route) => {
      this.router.on(route.method as HTTPMethod, route.path, () => undefined, route);
    });
  }

  findRoute(method: string, path: string): RouteSettings | undefined {
    const found = this.router.find(method as HTTPMethod, path);
    return found?.store as RouteSettings | undefined;
  }
}
