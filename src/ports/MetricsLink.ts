import type Result from '../domain/errors/Result.ts';
import type { WindowCounts } from '../domain/metrics/BurnWindow.ts';

/** Request counts and latencies that an entry host has measured. */
export interface HostMeasurements {
  readonly host: string;
  readonly startedAt: number;
  readonly services: readonly {
    readonly service: string;
    readonly counts: WindowCounts;
    /** Latencies, as encoded by `LatencyRecorder`. */
    readonly histogram: string;
  }[];
}

/** Requests the measurements of an entry host. */
export default interface MetricsLink {
  requestMeasurements(deadline: number): Promise<Result<HostMeasurements>>;
  close(): void;
}
