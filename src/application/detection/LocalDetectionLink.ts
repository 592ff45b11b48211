import type Result from '../../domain/errors/Result.ts';
import type DetectionLink from '../../ports/DetectionLink.ts';
import type { DetectionReport, SlowBound } from '../../ports/DetectionLink.ts';
import type DetectionCoordinator from './DetectionCoordinator.ts';

/** Link of a host to the coordinator in the same process. */
export default class LocalDetectionLink implements DetectionLink {
  private readonly coordinator: DetectionCoordinator;

  constructor(coordinator: DetectionCoordinator) {
    this.coordinator = coordinator;
  }

  async sendReport(report: DetectionReport): Promise<Result<readonly SlowBound[]>> {
    return this.coordinator.acceptReport(report);
  }

  close(): void {
    // There is no connection to close.
  }
}
