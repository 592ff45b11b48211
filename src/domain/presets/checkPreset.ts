import type Result from '../errors/Result.ts';
import type InvalidValue from './InvalidValue.ts';
import type Preset from './Preset.ts';
import type { RouteSettings, ServiceSettings } from './Preset.ts';
import checkNumber from './checkNumber.ts';
import checkTeams from './checkTeams.ts';
import presetLimits, {
  maxRoutes,
  nameExpected,
  namePattern,
  routeMethods,
} from './presetLimits.ts';

// Accepts literal segments, parameters that fill a whole segment, and a wildcard at the end. The
// router rejects some other patterns only when it builds its table, which is after the preset was
// committed.
const pathPattern =
  /^\/(?:(?:[A-Za-z0-9._~%!$&'+,;=@-]+|:[A-Za-z_]\w*)\/)*(?:[A-Za-z0-9._~%!$&'+,;=@-]+|:[A-Za-z_]\w*|\*)?$/;
const pathExpected =
  'expected a path that begins with / and consists of literal segments, :parameters and an optional * at the end';

type CheckResult = InvalidValue | undefined;

function checkName(key: string, value: string): CheckResult {
  return namePattern.test(value) ? undefined : { key, value, expected: nameExpected };
}

function checkChoice(key: string, value: string, choices: readonly string[]): CheckResult {
  if (choices.includes(value)) return undefined;
  return { key, value, expected: `expected one of ${choices.join(', ')}` };
}

function checkService(name: string, service: ServiceSettings): CheckResult[] {
  const at = `services.${name}`;
  const { upstreams, floor, objective } = service;
  return [
    checkName('services', name),
    checkNumber(`${at}.upstreams`, upstreams, presetLimits.upstreams),
    checkNumber(`${at}.floor`, floor, {
      ...presetLimits.floor,
      maximum: Math.min(presetLimits.floor.maximum, upstreams),
    }),
    checkChoice(`${at}.detection`, service.detection, ['fast', 'sure']),
    checkNumber(`${at}.retry_share`, service.retryShare, presetLimits.retry_share, false),
    checkNumber(`${at}.ramp_ms`, service.rampMs, presetLimits.ramp_ms),
    checkNumber(`${at}.objective.good_share`, objective.goodShare, presetLimits.good_share, false),
    checkNumber(`${at}.objective.within_ms`, objective.withinMs, presetLimits.within_ms),
  ];
}

function checkRoute(
  route: RouteSettings,
  index: number,
  services: ReadonlySet<string>,
): CheckResult[] {
  const at = `routes.${index}`;
  return [
    checkChoice(`${at}.method`, route.method, routeMethods),
    pathPattern.test(route.path)
      ? undefined
      : { key: `${at}.path`, value: route.path, expected: pathExpected },
    services.has(route.service)
      ? undefined
      : {
          key: `${at}.service`,
          value: route.service,
          expected: `expected one of the services ${[...services].join(', ')}`,
        },
    checkChoice(`${at}.repeat`, route.repeat, ['allowed', 'never']),
    checkChoice(`${at}.key`, route.key, ['required', 'generated']),
    checkNumber(`${at}.deadline_ms`, route.deadlineMs, presetLimits.deadline_ms),
    checkNumber(`${at}.max_body_bytes`, route.maxBodyBytes, presetLimits.max_body_bytes),
    checkNumber(`${at}.max_answer_bytes`, route.maxAnswerBytes, presetLimits.max_answer_bytes),
  ];
}

// Routes that differ only in the names of their parameters match the same requests.
function createRouteIdentity({ method, path }: RouteSettings): string {
  return `${method} ${path.replace(/:\w+/g, ':')}`;
}

function checkDistinct(routes: readonly RouteSettings[]): CheckResult {
  const firstIndexes = new Map<string, number>();
  const duplicateIndex = routes.findIndex((route, index) => {
    const identity = createRouteIdentity(route);
    if (firstIndexes.has(identity)) return true;
    firstIndexes.set(identity, index);
    return false;
  });
  const route = routes[duplicateIndex];
  if (!route) return undefined;
  return {
    key: `routes.${duplicateIndex}`,
    value: `${route.method} ${route.path}`,
    expected: `expected another method or path than routes.${firstIndexes.get(createRouteIdentity(route))}`,
  };
}

/** Lists the invalid values of a preset, with the keys of a preset file. */
export function listInvalidValues(preset: Preset): readonly InvalidValue[] {
  const services = new Set(Object.keys(preset.services));
  return [
    checkNumber('fleet.entry_hosts', preset.fleet.entryHosts, presetLimits.entry_hosts),
    ...Object.entries(preset.services).flatMap(([key, service]) => checkService(key, service)),
    preset.routes.length <= maxRoutes
      ? undefined
      : {
          key: 'routes',
          value: `${preset.routes.length} routes`,
          expected: `expected at most ${maxRoutes} routes`,
        },
    ...preset.routes.flatMap((route, index) => checkRoute(route, index, services)),
    checkDistinct(preset.routes),
    checkTeams(preset.teams ?? []),
  ].filter((result) => result !== undefined);
}

/**
 * Checks the values of a preset and the references between its parts. The failure
 * (`preset_invalid`) names the first invalid key, its value and what was expected.
 */
export default function checkPreset(name: string, preset: Preset): Result<Preset> {
  const invalidValue = checkName('name', name) ?? listInvalidValues(preset)[0];
  if (!invalidValue) return { ok: true, value: preset };
  const { key, value, expected } = invalidValue;
  const message = `preset "${name}": key ${key}: value ${JSON.stringify(value)}: ${expected}`;
  return { ok: false, failure: { kind: 'preset_invalid', message } };
}
