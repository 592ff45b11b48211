import type Result from '../../domain/errors/Result.ts';
import type DetectionLink from '../../ports/DetectionLink.ts';
import type { DetectionReport, SlowBound } from '../../ports/DetectionLink.ts';
import { detectionAnswerSchema, encodeDetectionReport } from './detectionMessages.ts';
import type TrpcPeerConnection from './TrpcPeerConnection.ts';

/** Options of the link. */
export interface TrpcDetectionLinkOptions {
  readonly connection: TrpcPeerConnection;
  /** Releases the connection, which other links may share. */
  readonly release: () => void;
}

/** Sends detection reports to the coordinator on one peer. */
export default class TrpcDetectionLink implements DetectionLink {
  private readonly options: TrpcDetectionLinkOptions;

  constructor(options: TrpcDetectionLinkOptions) {
    this.options = options;
  }

  async sendReport(
    report: DetectionReport,
    deadline: number,
  ): Promise<Result<readonly SlowBound[]>> {
    const result = await this.options.connection.requestPeer({
      path: 'detection.report',
      input: encodeDetectionReport(report),
      output: detectionAnswerSchema,
      deadline,
    });
    if (!result.ok) return result;
    if ('failure' in result.value) return { ok: false, failure: result.value.failure };
    const value = result.value.bounds.map(([service, slowBoundMs]) => ({
      service,
      slowBoundMs: slowBoundMs ?? undefined,
    }));
    return { ok: true, value };
  }

  close(): void {
    this.options.release();
  }
}
