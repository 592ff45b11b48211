import type { RouteSettings } from '../../domain/presets/Preset.ts';
import createHostKey from '../../domain/presets/createHostKey.ts';
import { anyMethod } from '../../domain/presets/presetLimits.ts';
import type RouteTable from '../../ports/RouteTable.ts';

/**
 * Finds routes by host and longest path prefix. The path of a route is its prefix, which ends with
 * a slash, followed by `*`.
 */
export default class PrefixRouteTable implements RouteTable {
  /** By host, then by prefix; the host is empty for routes that match any host. */
  private readonly hosts = new Map<string, Map<string, RouteSettings[]>>();

  constructor(routes: readonly RouteSettings[]) {
    routes.forEach((route) => this.addRoute(route));
  }

  findRoute(method: string, path: string, host = ''): RouteSettings | undefined {
    return this.findInHost(createHostKey(host), method, path) ?? this.findInHost('', method, path);
  }

  private addRoute(route: RouteSettings): void {
    const host = createHostKey(route.host ?? '');
    const prefix = route.path.replace(/\*$/, '');
    const prefixes = this.hosts.get(host) ?? new Map<string, RouteSettings[]>();
    prefixes.set(prefix, [...(prefixes.get(prefix) ?? []), route]);
    this.hosts.set(host, prefixes);
  }

  private findInHost(host: string, method: string, path: string): RouteSettings | undefined {
    const prefixes = this.hosts.get(host);
    if (!prefixes) return undefined;
    let slashIndex = path.lastIndexOf('/');
    while (slashIndex >= 0) {
      const found = prefixes
        .get(path.slice(0, slashIndex + 1))
        ?.find((route) => route.method === anyMethod || route.method === method);
      if (found) return found;
      slashIndex = slashIndex === 0 ? -1 : path.lastIndexOf('/', slashIndex - 1);
    }
    return undefined;
  }
}
