import * as z from 'zod';

import type { PresetStatus } from '../../application/operators/PresetStatusReader.ts';
import type { ServiceStatus } from '../../application/operators/ServiceListing.ts';
import type { TeamReport } from '../../application/operators/TeamListing.ts';
import type { UpstreamStatus } from '../../application/operators/UpstreamListing.ts';
import type { PresetListing } from '../../application/presets/PresetService.ts';
import type { PresetRecord } from '../../domain/presets/PresetRegistrySnapshot.ts';
import type BurnReport from '../../domain/metrics/BurnReport.ts';
import { acceptedChangeSchema } from './controlMessages.ts';
import { createOptionalSchema, createResultSchema, winnerSchema } from './failureSchema.ts';
import { teamCountsSchema, windowCountsSchema } from './metricsMessages.ts';
import presetSchema from './presetSchema.ts';

const changeIdExpected = 'expected a change id of 1 to 100 printable characters without spaces';

/** Pattern of the header `pistachiohoist-operator`. */
export const operatorNamePattern = /^[\x21-\x7e]{1,63}$/;

/** Describes `operatorNamePattern` in error messages. */
export const operatorNameExpected =
  'expected a name of 1 to 63 printable characters without spaces';

const changeFields = {
  name: z.string().max(63),
  basedOn: z.int('expected a whole number').min(0, 'expected 0 or a revision'),
  changeId: z.string().regex(/^[\x21-\x7e]{1,100}$/, changeIdExpected),
};

/** Input of `preset.put`. */
export const putPresetSchema = z.object({ ...changeFields, preset: presetSchema });

/** Input of `preset.use`. */
export const usePresetSchema = z.object(changeFields);

/** Input of `preset.show`. */
export const showPresetSchema = z.object({ name: z.string().max(63) });

/** Output of `preset.put` and `preset.use`. */
export const acceptedResultSchema = createResultSchema(acceptedChangeSchema);

const namedChange = { ...winnerSchema.shape, name: z.string() };

const presetListingSchema: z.ZodType<PresetListing> = z.object({
  presets: z.array(z.object(namedChange)),
  selection: createOptionalSchema(z.object(namedChange)),
  activeRevision: z.int(),
});

/** Output of `preset.list`. */
export const presetListingResultSchema = createResultSchema(presetListingSchema);

const presetRecordSchema: z.ZodType<PresetRecord> = z.object({
  ...namedChange,
  preset: presetSchema,
});

/** Output of `preset.show`. */
export const presetRecordResultSchema = createResultSchema(presetRecordSchema);

const presetStatusSchema: z.ZodType<PresetStatus> = z.object({
  name: z.string(),
  revision: z.int(),
  entryHosts: z.int(),
  hosts: z.array(
    z.object({
      host: z.string(),
      role: z.enum(['entry', 'control']),
      failureDomain: z.string(),
      state: z.enum(['starting', 'ready', 'stopping']),
      presetName: z.string(),
      revision: z.int(),
      isLagging: z.boolean(),
    }),
  ),
});

/** Output of `preset.status`. */
export const presetStatusResultSchema = createResultSchema(presetStatusSchema);

const upstreamStatusSchema: z.ZodType<UpstreamStatus> = z.object({
  service: z.string(),
  upstream: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  slots: z.int(),
  state: z.enum(['starting', 'serving', 'leaving']),
  ejectedUntil: z.number(),
});

/** Output of `upstream.list`. */
export const upstreamListResultSchema = createResultSchema(z.array(upstreamStatusSchema));

const serviceStatusSchema: z.ZodType<ServiceStatus> = z.object({
  service: z.string(),
  upstreams: z.int(),
  floor: z.int(),
  detection: z.enum(['fast', 'sure']),
  serving: z.int(),
  ejected: z.int(),
});

/** Output of `service.list`. */
export const serviceListResultSchema = createResultSchema(z.array(serviceStatusSchema));

const burnRatesSchema = z.object({
  '5m': z.number(),
  '1h': z.number(),
  '6h': z.number(),
  '3d': z.number(),
});

const burnReportSchema: z.ZodType<BurnReport> = z.object({
  createdAt: z.number(),
  hosts: z.array(z.string()),
  missingHosts: z.array(z.string()),
  services: z.array(
    z.object({
      service: z.string(),
      goodShare: z.number(),
      withinMs: z.number(),
      allowedShare: z.number(),
      budgetLeft: z.number(),
      burnRates: burnRatesSchema,
      counts: windowCountsSchema,
      latency: z.object({
        count: z.number(),
        p50: z.number(),
        p90: z.number(),
        p99: z.number(),
        max: z.number(),
      }),
    }),
  ),
});

/** Output of `report.burn`. */
export const burnReportResultSchema = createResultSchema(burnReportSchema);

const teamReportSchema: z.ZodType<TeamReport> = z.object({
  needsKeys: z.boolean(),
  teams: z.array(
    z.object({
      name: z.string(),
      priority: createOptionalSchema(z.number()),
      requestsPerSecond: createOptionalSchema(z.number()),
      burst: z.number(),
      keys: z.int(),
      ...teamCountsSchema.shape,
    }),
  ),
  withoutTeam: teamCountsSchema,
  hosts: z.array(z.string()),
  missingHosts: z.array(z.string()),
});

/** Output of `team.list`. */
export const teamReportResultSchema = createResultSchema(teamReportSchema);
