import * as z from 'zod';

import type RegisteredUpstream from '../../domain/membership/RegisteredUpstream.ts';
import type { Registration } from '../../domain/membership/RegisteredUpstream.ts';
import type NumberedPreset from '../../domain/presets/NumberedPreset.ts';

const announcedFields = {
  upstream: z.string(),
  service: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  slots: z.int(),
  bornAt: z.int(),
  sequence: z.int(),
  warmMs: z.number(),
};

/** An upstream's announcement in a message. */
export const registrationSchema: z.ZodType<Registration> = z.object({
  ...announcedFields,
  state: z.enum(['serving', 'leaving']),
});

/** A registered upstream in a message. */
export const registeredSchema: z.ZodType<RegisteredUpstream> = z.object({
  ...announcedFields,
  state: z.enum(['serving', 'leaving', 'silent', 'gone']),
  keeper: z.string(),
  changedAt: z.int(),
});

/** A preset with the number that the operators gave it. */
export const numberedPresetSchema: z.ZodType<NumberedPreset> = z.object({
  number: z.number(),
  document: z.string(),
});
