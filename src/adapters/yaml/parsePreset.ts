import { z } from 'zod';

import type Result from '../../domain/errors/Result.ts';
import type Preset from '../../domain/presets/Preset.ts';
import type { RouteSettings, ServiceSettings } from '../../domain/presets/Preset.ts';
import parseYaml from './parseYaml.ts';

function createIntegerSchema(minimum: number, maximum: number) {
  const expected = `expected a whole number from ${minimum} to ${maximum}`;
  return z.int(expected).min(minimum, expected).max(maximum, expected);
}

function createShareSchema(minimum: number, maximum: number) {
  const expected = `expected a number from ${minimum} to ${maximum}`;
  return z.number(expected).min(minimum, expected).max(maximum, expected);
}

const nameExpected = 'expected 1 to 63 lower-case letters, digits or hyphens';
const nameSchema = z.string(nameExpected).regex(/^[a-z0-9][a-z0-9-]{0,62}$/, nameExpected);

const serviceSchema = z.strictObject({
  upstreams: createIntegerSchema(1, 10_000),
  floor: createIntegerSchema(0, 10_000),
  detection: z.enum(['fast', 'sure'], 'expected one of fast, sure').default('sure'),
  retry_share: createShareSchema(0, 1).default(0.1),
  ramp_ms: createIntegerSchema(0, 600_000).default(10_000),
  echo_request_id: z.boolean('expected true or false').default(false),
  objective: z
    .strictObject({
      good_share: createShareSchema(0.5, 0.99999),
      within_ms: createIntegerSchema(1, 600_000),
    })
    .default({ good_share: 0.999, within_ms: 1000 }),
});

const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

const routeSchema = z.strictObject({
  method: z.enum(methods, `expected one of ${methods.join(', ')}`),
  path: z
    .string('expected a path that begins with /')
    .regex(/^\/[^?#\s]*$/, 'expected a path that begins with / and has no query'),
  service: nameSchema,
  repeat: z.enum(['allowed', 'never'], 'expected one of allowed, never'),
  key: z.enum(['required', 'generated'], 'expected one of required, generated').default('required'),
  deadline_ms: createIntegerSchema(1, 600_000).default(5000),
  max_body_bytes: createIntegerSchema(0, 16_777_216).default(1_048_576),
  max_answer_bytes: createIntegerSchema(1, 67_108_864).default(8_388_608),
});

const presetSchema = z.strictObject({
  fleet: z.strictObject({ entry_hosts: createIntegerSchema(1, 10_000) }),
  services: z.record(nameSchema, serviceSchema, 'expected services by name'),
  routes: z.array(routeSchema, 'expected a list of routes').max(50_000),
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
  };
}

/** Reads the form of a preset file; `checkPreset` checks what its parts say about each other. */
export default function parsePreset(name: string, text: string): Result<Preset> {
  const parsed = parseYaml({ name, text, schema: presetSchema, failureKind: 'preset_invalid' });
  if (!parsed.ok) return parsed;
  const { fleet, services, routes } = parsed.value;
  return {
    ok: true,
    value: {
      fleet: { entryHosts: fleet.entry_hosts },
      services: Object.fromEntries(
        Object.entries(services).map(([key, service]) => [key, createServiceSettings(service)]),
      ),
      routes: routes.map(createRouteSettings),
    },
  };
}
