import * as z from 'zod';

import { latencyBucketCount } from '../../domain/detection/latencyBuckets.ts';
import type { UpstreamEvidence } from '../../domain/detection/Evidence.ts';
import type EjectionRecord from '../../domain/detection/EjectionRecord.ts';
import type { DetectionReport, SlowBound } from '../../ports/DetectionLink.ts';
import type Failure from '../../domain/errors/Failure.ts';

const nameSchema = z.string().min(1).max(255);
const countSchema = z.int().min(0).max(10_000_000);
const timeSchema = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
// Pairs of a bucket and its count, in one flat array.
const bucketCountsSchema = z
  .array(countSchema)
  .max(2 * latencyBucketCount)
  .refine((counts) => counts.length % 2 === 0);

// Tuples instead of objects: field names would make up most of a report.
const evidenceSchema = z.tuple([
  nameSchema,
  countSchema,
  countSchema,
  bucketCountsSchema,
  bucketCountsSchema,
]);

const serviceReportSchema = z.tuple([nameSchema, timeSchema.nullable(), z.array(evidenceSchema)]);

/** Wire format of a report. */
export const detectionReportSchema = z.tuple([
  nameSchema,
  nameSchema,
  timeSchema,
  z.int().min(0),
  z.array(serviceReportSchema).max(10_000),
]);

const failureSchema = z.object({ kind: z.literal('message_invalid'), message: z.string() });

/** Wire format of the answer to a report: slow bounds by service, or why it was refused. */
export const detectionAnswerSchema = z.union([
  z.object({ bounds: z.array(z.tuple([nameSchema, z.number().nullable()])) }),
  z.object({ failure: failureSchema }),
]);

type ReportMessage = z.output<typeof detectionReportSchema>;

/** The answer to a report in its wire format. */
export type DetectionAnswer = z.output<typeof detectionAnswerSchema>;

/** Encodes a report. */
export function encodeDetectionReport(report: DetectionReport): ReportMessage {
  const encodeEvidence = (evidence: UpstreamEvidence): z.output<typeof evidenceSchema> => [
    evidence.upstream,
    evidence.failed,
    evidence.overdue,
    [...evidence.latencies],
    [...evidence.lateLatencies],
  ];
  return [
    report.reporter,
    report.failureDomain,
    report.judgeIncarnation,
    report.revision,
    report.services.map(({ service, grantedUntil, upstreams }) => [
      service,
      grantedUntil ?? null,
      upstreams.map(encodeEvidence),
    ]),
  ];
}

/** Decodes a report that `detectionReportSchema` has validated. */
export function decodeDetectionReport(message: ReportMessage): DetectionReport {
  const [reporter, failureDomain, judgeIncarnation, revision, services] = message;
  return {
    reporter,
    failureDomain,
    judgeIncarnation,
    revision,
    services: services.map(([service, grantedUntil, upstreams]) => ({
      service,
      grantedUntil: grantedUntil ?? undefined,
      upstreams: upstreams.map(([upstream, failed, overdue, latencies, lateLatencies]) => ({
        upstream,
        failed,
        overdue,
        latencies,
        lateLatencies,
      })),
    })),
  };
}

/** Encodes slow bounds. */
export function encodeSlowBounds(bounds: readonly SlowBound[]): DetectionAnswer {
  return { bounds: bounds.map(({ service, slowBoundMs }) => [service, slowBoundMs ?? null]) };
}

/** Encodes a refusal; kinds other than `message_invalid` do not occur. */
export function encodeDetectionFailure({ message }: Failure): DetectionAnswer {
  return { failure: { kind: 'message_invalid', message } };
}

const ejectionRecordSchema = z.object({
  service: nameSchema,
  judge: nameSchema,
  incarnation: timeSchema,
  sequence: countSchema,
  ejections: z
    .array(
      z.object({
        upstream: nameSchema,
        incarnation: timeSchema,
        severity: z.number().min(0).max(100),
        deadline: timeSchema,
        heldUntil: timeSchema,
        repeats: countSchema,
      }),
    )
    .max(10_000),
  probations: z
    .array(
      z.object({
        upstream: nameSchema,
        incarnation: timeSchema,
        deadline: timeSchema,
        repeats: countSchema,
      }),
    )
    .max(10_000),
});

/** Validates an ejection record received by gossip; undefined when it is malformed. */
export function parseEjectionRecord(record: unknown): EjectionRecord | undefined {
  const parsed = ejectionRecordSchema.safeParse(record);
  return parsed.success ? parsed.data : undefined;
}
