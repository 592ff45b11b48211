import * as z from 'zod';

import type Result from '../../domain/errors/Result.ts';
import type FleetSettings from '../../domain/settings/FleetSettings.ts';
import { defaultQuotas } from '../../domain/teams/computeCreditLimits.ts';
import { dataFolderSchema, keySchema, logLevelSchema, memorySchema } from './commonSchemas.ts';
import durationSchema from './durationSchema.ts';
import listenAddressSchema from './listenAddressSchema.ts';
import nameSchema from './nameSchema.ts';
import parseYaml from './parseYaml.ts';

const expectedDescriptors = 'expected a whole number from 64 to 10000000';

const commonFields = {
  host: nameSchema,
  failure_domain: nameSchema,
  failure_domains: z.record(nameSchema, nameSchema, 'expected the region of each failure domain'),
  seeds: z.array(listenAddressSchema, 'expected a list of addresses'),
  peer_key: keySchema,
  log_level: logLevelSchema,
  // Empty when the platform sets no limit.
  max_descriptors: z
    .int(expectedDescriptors)
    .min(64, expectedDescriptors)
    .max(10_000_000, expectedDescriptors)
    .nullish(),
  max_memory: memorySchema,
  // In milliseconds, as all defaults of durations are.
  stop_timeout: durationSchema.default(30_000),
};

const expectedWindow = 'expected a duration above 0';
const expectedOvershoot = 'expected a number from 0 to 10';
const expectedSlack = 'expected a number from 0 to 1000000';
const expectedPrice = 'expected a number from 0 to 100';

const entrySchema = z.strictObject({
  ...commonFields,
  role: z.literal('entry'),
  listen: z.strictObject({
    callers: listenAddressSchema,
    platform: listenAddressSchema,
    peers: listenAddressSchema,
    metrics: listenAddressSchema,
  }),
  retries: z.strictObject({
    share: z.number('expected a number from 0 to 1').min(0).max(1),
    extra: z.number('expected a number of at least 0').min(0),
    window: durationSchema,
  }),
  quotas: z
    .strictObject({
      window: durationSchema.refine((ms) => ms > 0, expectedWindow).default(defaultQuotas.windowMs),
      overshoot: z
        .number(expectedOvershoot)
        .min(0, expectedOvershoot)
        .max(10, expectedOvershoot)
        .nullish(),
      slack: z.number(expectedSlack).min(0, expectedSlack).max(1_000_000, expectedSlack).nullish(),
    })
    .nullish(),
  first_start: z.boolean('expected true or false').default(false),
  stop_grace: durationSchema.default(2200),
  other_domain_price: z.number(expectedPrice).min(0, expectedPrice).max(100, expectedPrice),
  suspicion: durationSchema.default(9000),
});

const controlSchema = z.strictObject({
  ...commonFields,
  role: z.literal('control'),
  listen: z.strictObject({
    operators: listenAddressSchema,
    peers: listenAddressSchema,
    metrics: listenAddressSchema,
  }),
  data_folder: dataFolderSchema,
  forms_group: z.boolean('expected true or false').default(false),
  lost_hosts: z
    .int('expected a whole number from 0 to 10')
    .min(0, 'expected a whole number from 0 to 10')
    .max(10, 'expected a whole number from 0 to 10')
    .default(1),
  upstream_silence: durationSchema.default(30_000),
});

const settingsSchema = z.discriminatedUnion('role', [entrySchema, controlSchema], {
  error: 'expected one of entry, control',
});

/**
 * Parses and validates the settings of a daemon in a fleet whose hosts discover each other through
 * seeds; `name` is the path of the file, for error messages.
 */
export default function parseFleetSettings(name: string, text: string): Result<FleetSettings> {
  const parsed = parseYaml({
    name,
    text,
    schema: settingsSchema,
    failureKind: 'settings_invalid',
  });
  if (!parsed.ok) return parsed;
  const settings = parsed.value;
  const shared = {
    host: settings.host,
    failureDomain: settings.failure_domain,
    failureDomains: Object.keys(settings.failure_domains),
    seeds: settings.seeds,
    peerKey: settings.peer_key,
    logLevel: settings.log_level,
    maxDescriptors: settings.max_descriptors ?? undefined,
    maxMemoryBytes: settings.max_memory ?? undefined,
    stopTimeoutMs: settings.stop_timeout,
  };
  if (settings.role === 'entry') {
    return {
      ok: true,
      value: {
        ...shared,
        role: settings.role,
        listen: settings.listen,
        retries: {
          share: settings.retries.share,
          extra: settings.retries.extra,
          windowMs: settings.retries.window,
        },
        quotas: {
          windowMs: settings.quotas?.window ?? defaultQuotas.windowMs,
          overshoot: settings.quotas?.overshoot ?? defaultQuotas.overshoot,
          slack: settings.quotas?.slack ?? defaultQuotas.slack,
        },
        isFirstStart: settings.first_start,
        stopGraceMs: settings.stop_grace,
        otherDomainPrice: settings.other_domain_price,
        suspicionMs: settings.suspicion,
      },
    };
  }
  return {
    ok: true,
    value: {
      ...shared,
      role: settings.role,
      listen: settings.listen,
      dataFolder: settings.data_folder,
      formsGroup: settings.forms_group,
      lostHosts: settings.lost_hosts,
      upstreamSilenceMs: settings.upstream_silence,
    },
  };
}
