import type Judge from '../../application/detection/Judge.ts';
import {
  decodeDetectionReport,
  detectionReportSchema,
  encodeDetectionFailure,
  encodeSlowBounds,
} from './detectionMessages.ts';
import type { DetectionAnswer } from './detectionMessages.ts';
import { procedure, router } from './trpcBase.ts';

/** Procedures `detection.*` of an entry host; the judge decides, this only decodes. */
export default function createDetectionRouter({ judge }: { readonly judge: Judge }) {
  return router({
    report: procedure.input(detectionReportSchema).mutation(({ input, ctx }): DetectionAnswer => {
      const report = decodeDetectionReport(input);
      // A grant counts for the host that the connection belongs to.
      const result = judge.acceptReport({ ...report, reporter: ctx.callerName });
      return result.ok ? encodeSlowBounds(result.value) : encodeDetectionFailure(result.failure);
    }),
  });
}
