import type Preset from '../Preset.ts';
import type { RouteSettings, TeamSettings } from '../Preset.ts';
import createHostKey from '../createHostKey.ts';
import { anyMethod } from '../presetLimits.ts';
import type Finding from './Finding.ts';
import type PresetRule from './PresetRule.ts';

// A prefix is compared with the part of a path that ends with a slash.
const partialPrefixPattern = /[^/]\*$/;

// Routes that differ only in the names of their parameters match the same paths.
function createPattern({ host = '', path }: RouteSettings): string {
  return `${createHostKey(host)} ${path.replace(/:\w+/g, ':')}`;
}

function listShadowedRoutes(routes: readonly RouteSettings[]): readonly Finding[] {
  const firstIndexes = new Map<string, number>();
  return routes.flatMap((route, index) => {
    const pattern = createPattern(route);
    const own = `${route.method} ${pattern}`;
    const first = firstIndexes.get(`${anyMethod} ${pattern}`) ?? firstIndexes.get(own);
    if (first === undefined) {
      firstIndexes.set(own, index);
      return [];
    }
    const message = `the earlier route ${first} serves all requests that this one matches`;
    return [{ code: 'route_shadowed' as const, path: ['routes', index], message }];
  });
}

function listUnmatchedRoutes(routes: readonly RouteSettings[]): readonly Finding[] {
  return routes.flatMap(({ path }, index) =>
    partialPrefixPattern.test(path)
      ? [
          {
            code: 'route_without_match' as const,
            path: ['routes', index, 'path'],
            message: `no request matches "${path.slice(0, -1)}": a prefix must end with a slash`,
          },
        ]
      : [],
  );
}

function listUnusedParts(routes: readonly RouteSettings[]): readonly Finding[] {
  return routes.flatMap(({ split = [] }, index) =>
    split.flatMap(({ service, weight }, part) =>
      weight > 0
        ? []
        : [
            {
              code: 'split_part_without_weight' as const,
              path: ['routes', index, 'split', part, 'weight'],
              message: `service "${service}" gets no requests of this route: the weight is 0`,
            },
          ],
    ),
  );
}

function listUsedServices({ service, split }: RouteSettings): readonly string[] {
  if (!split) return [service];
  return split.filter(({ weight }) => weight > 0).map((part) => part.service);
}

function listUnusedServices({ routes, services }: Preset): readonly Finding[] {
  const used = new Set(routes.flatMap(listUsedServices));
  return Object.keys(services)
    .filter((name) => !used.has(name))
    .map((name) => ({
      code: 'service_unused' as const,
      path: ['services', name],
      message: `no route sends requests to service "${name}"`,
    }));
}

function listRepeatedKeys({ keys }: TeamSettings, team: number): readonly Finding[] {
  const firstIndexes = new Map<string, number>();
  return keys.flatMap((key, index) => {
    const first = firstIndexes.get(key);
    if (first === undefined) {
      firstIndexes.set(key, index);
      return [];
    }
    const message = `the same key is already at position ${first} of the list`;
    return [{ code: 'team_key_repeated' as const, path: ['teams', team, 'keys', index], message }];
  });
}

function listTeamFindings(teams: readonly TeamSettings[]): readonly Finding[] {
  return teams.flatMap((team, index) =>
    team.keys.length > 0
      ? listRepeatedKeys(team, index)
      : [
          {
            code: 'team_without_keys' as const,
            path: ['teams', index, 'keys'],
            message: `no request can belong to team "${team.name}": it has no keys`,
          },
        ],
  );
}

/** Reports entries of a preset that no request can use. */
export default class UseRule implements PresetRule {
  listFindings(preset: Preset): readonly Finding[] {
    const { routes, teams = [] } = preset;
    return [
      ...listShadowedRoutes(routes),
      ...listUnmatchedRoutes(routes),
      ...listUnusedParts(routes),
      ...listUnusedServices(preset),
      ...listTeamFindings(teams),
    ];
  }
}
