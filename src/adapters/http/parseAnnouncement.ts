import * as z from 'zod';

import type { Announcement } from '../../application/membership/AnnouncementService.ts';
import type Result from '../../domain/errors/Result.ts';
import { addressTextSchema } from '../yaml/listenAddressSchema.ts';
import nameSchema from '../yaml/nameSchema.ts';

const maxValueLength = 80;

function createIntegerSchema(minimum: number, maximum: number) {
  const expected = `expected a whole number from ${minimum} to ${maximum}`;
  return z.int(expected).min(minimum, expected).max(maximum, expected);
}

const announcementSchema = z.strictObject(
  {
    service: nameSchema,
    upstream: nameSchema,
    address: addressTextSchema.refine((text) => !text.endsWith(':0'), 'expected a port above 0'),
    failure_domain: nameSchema,
    slots: createIntegerSchema(1, 10_000),
    incarnation: createIntegerSchema(0, Number.MAX_SAFE_INTEGER),
    sequence: createIntegerSchema(0, Number.MAX_SAFE_INTEGER),
    state: z.enum(['starting', 'serving', 'leaving'], 'expected one of starting, serving, leaving'),
    lease_ms: createIntegerSchema(1000, 60_000),
  },
  { error: (issue) => (issue.code === 'invalid_type' ? 'expected a JSON object' : undefined) },
);

function describeValue(content: unknown, field: string): string {
  const value = field === '' ? content : (content as Record<string, unknown>)[field];
  return (JSON.stringify(value) ?? 'missing').slice(0, maxValueLength);
}

function describeIssue(content: unknown, issue: z.core.$ZodIssue): string[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(
      (key) => `field ${key}: value ${describeValue(content, key)}: no such field is allowed`,
    );
  }
  const field = String(issue.path[0] ?? '');
  const name = field === '' ? 'body' : `field ${field}`;
  return [`${name}: value ${describeValue(content, field)}: ${issue.message}`];
}

/** Parses the JSON body of `POST /announce`; a failure names every invalid field. */
export default function parseAnnouncement(body: Uint8Array): Result<Announcement> {
  const fail = (detail: string): Result<Announcement> => ({
    ok: false,
    failure: { kind: 'announcement_invalid', message: `POST /announce: ${detail}` },
  });
  let content: unknown;
  try {
    content = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch (error) {
    return fail(`body: not valid JSON: ${(error as Error).message.slice(0, maxValueLength)}`);
  }
  const parsed = announcementSchema.safeParse(content);
  if (!parsed.success) {
    const details = parsed.error.issues.flatMap((issue) => describeIssue(content, issue));
    return fail([...new Set(details)].join('; '));
  }
  const { failure_domain: failureDomain, lease_ms: leaseMs, ...fields } = parsed.data;
  return { ok: true, value: { ...fields, failureDomain, leaseMs } };
}
