import * as z from 'zod';

import type Result from '../../domain/errors/Result.ts';
import type Preset from '../../domain/presets/Preset.ts';
import type { RouteSettings, ServiceSettings, TeamSettings } from '../../domain/presets/Preset.ts';
import presetLimits, { maxRoutes, routeMethods } from '../../domain/presets/presetLimits.ts';
import type { Range } from '../../domain/presets/presetLimits.ts';
import teamLimits, {
  maxTeams,
  teamKeyExpected,
  teamNameExpected,
} from '../../domain/presets/teamLimits.ts';
import nameSchema from './nameSchema.ts';
import parseYaml from './parseYaml.ts';

function createIntegerSchema({ minimum, maximum }: Range) {
  const expected = `expected a whole number from ${minimum} to ${maximum}`;
  return z.int(expected).min(minimum, expected).max(maximum, expected);
}

function createNumberSchema({ minimum, maximum }: Range) {
  const expected = `expected a number from ${minimum} to ${maximum}`;
  return z.number(expected).min(minimum, expected).max(maximum, expected);
}

const serviceSchema = z.strictObject({
  upstreams: createIntegerSchema(presetLimits.upstreams),
  floor: createIntegerSchema(presetLimits.floor),
  detection: z.enum(['fast', 'sure'], 'expected one of fast, sure').default('sure'),
  retry_share: createNumberSchema(presetLimits.retry_share).default(0.1),
  ramp_ms: createIntegerSchema(presetLimits.ramp_ms).default(10_000),
  echo_request_id: z.boolean('expected true or false').default(false),
  objective: z
    .strictObject({
      good_share: createNumberSchema(presetLimits.good_share),
      within_ms: createIntegerSchema(presetLimits.within_ms),
    })
    .default({ good_share: 0.999, within_ms: 1000 }),
});

const routeSchema = z.strictObject({
  method: z.enum(routeMethods, `expected one of ${routeMethods.join(', ')}`),
  path: z
    .string('expected a path that begins with /')
    .regex(/^\/[^?#\s]*$/, 'expected a path that begins with / and has no query'),
  service: nameSchema,
  repeat: z.enum(['allowed', 'never'], 'expected one of allowed, never'),
  key: z.enum(['required', 'generated'], 'expected one of required, generated').default('required'),
  deadline_ms: createIntegerSchema(presetLimits.deadline_ms).default(5000),
  max_body_bytes: createIntegerSchema(presetLimits.max_body_bytes).default(1_048_576),
  max_answer_bytes: createIntegerSchema(presetLimits.max_answer_bytes).default(8_388_608),
  public: z.boolean('expected true or false').optional(),
});

// `checkPreset` checks the patterns of names and keys.
const teamSchema = z.strictObject({
  name: z.string(teamNameExpected),
  keys: z.array(z.string(teamKeyExpected), 'expected a list of keys').default([]),
  priority: createIntegerSchema(teamLimits.priority).optional(),
  requests_per_second: createNumberSchema(teamLimits.requests_per_second).default(0),
  burst: createNumberSchema(teamLimits.burst).default(0),
});

const presetSchema = z.strictObject({
  fleet: z.strictObject({ entry_hosts: createIntegerSchema(presetLimits.entry_hosts) }),
  services: z.record(nameSchema, serviceSchema, 'expected services by name'),
  routes: z
    .array(routeSchema, 'expected a list of routes')
    .max(maxRoutes, `expected at most ${maxRoutes} routes`),
  teams: z
    .array(teamSchema, 'expected a list of teams')
    .max(maxTeams, `expected at most ${maxTeams} teams`)
    .optional(),
});

function createServiceSettings(service: z.output<typeof serviceSchema>): ServiceSettings {
  return {
    upstreams: service.upstreams,
    floor: service.floor,
    detection: service.detection,
    retryShare: service.retry_share,
    rampMs: service.ramp_ms,
    echoRequestId: service.echo_request_id,
    objective: {
      goodShare: service.objective.good_share,
      withinMs: service.objective.within_ms,
    },
  };
}

function createRouteSettings(route: z.output<typeof routeSchema>): RouteSettings {
  return {
    method: route.method,
    path: route.path,
    service: route.service,
    repeat: route.repeat,
    key: route.key,
    deadlineMs: route.deadline_ms,
    maxBodyBytes: route.max_body_bytes,
    maxAnswerBytes: route.max_answer_bytes,
    isPublic: route.public,
  };
}

function createTeamSettings(team: z.output<typeof teamSchema>): TeamSettings {
  return {
    name: team.name,
    keys: team.keys,
    priority: team.priority,
    requestsPerSecond: team.requests_per_second || undefined,
    burst: team.burst,
  };
}

/**
 * Parses a preset file and validates each value; `checkPreset` validates the values against each
 * other. `name` is the path of the file, for error messages.
 */
export default function parsePreset(name: string, text: string): Result<Preset> {
  const parsed = parseYaml({ name, text, schema: presetSchema, failureKind: 'preset_invalid' });
  if (!parsed.ok) return parsed;
  const { fleet, services, routes, teams } = parsed.value;
  return {
    ok: true,
    value: {
      fleet: { entryHosts: fleet.entry_hosts },
      services: Object.fromEntries(
        Object.entries(services).map(([key, service]) => [key, createServiceSettings(service)]),
      ),
      routes: routes.map(createRouteSettings),
      teams: teams?.map(createTeamSettings),
    },
  };
}
