import type Result from '../../domain/errors/Result.ts';
import type DetectionLink from '../../ports/DetectionLink.ts';
import type { DetectionReport, SlowBound } from '../../ports/DetectionLink.ts';
import type Judge from './Judge.ts';

/** The link of a host to its own judge. */
export default class LocalDetectionLink implements DetectionLink {
  private readonly judge: Judge;

  constructor(judge: Judge) {
    this.judge = judge;
  }

  async sendReport(report: DetectionReport): Promise<Result<readonly SlowBound[]>> {
    return this.judge.acceptReport(report);
  }

  close(): void {
    // There is no connection to end.
  }
}
