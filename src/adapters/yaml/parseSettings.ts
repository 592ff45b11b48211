import * as z from 'zod';

import type Result from '../../domain/errors/Result.ts';
import type DaemonSettings from '../../domain/settings/DaemonSettings.ts';
import { dataFolderSchema, keySchema, logLevelSchema, memorySchema } from './commonSchemas.ts';
import listenAddressSchema, { addressTextSchema } from './listenAddressSchema.ts';
import nameSchema from './nameSchema.ts';
import parseYaml from './parseYaml.ts';

const commonFields = {
  host: nameSchema,
  failure_domain: nameSchema,
  control: z
    .array(z.strictObject({ host: nameSchema, address: addressTextSchema }), {
      error: 'expected a list of control hosts, each with host and address',
    })
    .min(1, 'expected at least one control host')
    .max(9, 'expected at most 9 control hosts')
    .refine((hosts) => new Set(hosts.map(({ host }) => host)).size === hosts.length, {
      error: 'expected a different host name for each control host',
    }),
  peer_key: keySchema,
  log_level: logLevelSchema,
  max_memory: memorySchema,
  stop_grace_ms: z
    .int('expected a whole number from 0 to 60000')
    .min(0, 'expected a whole number from 0 to 60000')
    .max(60_000, 'expected a whole number from 0 to 60000')
    .default(2000),
};

const entrySchema = z.strictObject({
  ...commonFields,
  role: z.literal('entry'),
  listen: z.strictObject({
    callers: listenAddressSchema,
    platform: listenAddressSchema,
    peers: listenAddressSchema,
  }),
});

const controlSchema = z.strictObject({
  ...commonFields,
  role: z.literal('control'),
  listen: z.strictObject({
    operators: listenAddressSchema,
    platform: listenAddressSchema,
    peers: listenAddressSchema,
  }),
  operator_key: keySchema,
  data_folder: dataFolderSchema,
});

const settingsSchema = z
  .discriminatedUnion('role', [entrySchema, controlSchema], {
    error: 'expected one of entry, control',
  })
  .refine(
    (settings) =>
      settings.role === 'entry' || settings.control.some(({ host }) => host === settings.host),
    { error: 'expected the list to name this host', path: ['control'] },
  );

/**
 * Parses and validates the settings of a daemon; `name` is the path of the settings file, for error
 * messages.
 */
export default function parseSettings(name: string, text: string): Result<DaemonSettings> {
  const parsed = parseYaml({
    name,
    text,
    schema: settingsSchema,
    failureKind: 'settings_invalid',
  });
  if (!parsed.ok) return parsed;
  const settings = parsed.value;
  return {
    ok: true,
    value: {
      host: settings.host,
      failureDomain: settings.failure_domain,
      role: settings.role,
      listen: {
        platform: settings.listen.platform,
        peers: settings.listen.peers,
        callers: settings.role === 'entry' ? settings.listen.callers : undefined,
        operators: settings.role === 'control' ? settings.listen.operators : undefined,
      },
      control: settings.control,
      peerKey: settings.peer_key,
      operatorKey: settings.role === 'control' ? settings.operator_key : undefined,
      dataFolder: settings.role === 'control' ? settings.data_folder : undefined,
      logLevel: settings.log_level,
      maxMemoryBytes: settings.max_memory ?? undefined,
      stopGraceMs: settings.stop_grace_ms,
    },
  };
}
