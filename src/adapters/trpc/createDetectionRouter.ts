import type DetectionCoordinator from '../../application/detection/DetectionCoordinator.ts';
import {
  decodeDetectionReport,
  detectionReportSchema,
  encodeDetectionFailure,
  encodeSlowBounds,
} from './detectionMessages.ts';
import type { DetectionAnswer } from './detectionMessages.ts';
import { procedure, router } from './trpcBase.ts';

/**
 * Creates the `detection` procedures of an entry host, which only decode messages for the
 * coordinator.
 */
export default function createDetectionRouter({
  coordinator,
}: {
  readonly coordinator: DetectionCoordinator;
}) {
  return router({
    report: procedure.input(detectionReportSchema).mutation(({ input, ctx }): DetectionAnswer => {
      const report = decodeDetectionReport(input);
      // A lease counts for the host that the connection belongs to, whatever name the report
      // carries.
      const result = coordinator.acceptReport({ ...report, reporter: ctx.callerName });
      return result.ok ? encodeSlowBounds(result.value) : encodeDetectionFailure(result.failure);
    }),
  });
}
