import type Result from '../domain/errors/Result.ts';
import type { WindowCounts } from '../domain/metrics/BurnWindow.ts';

/** Measurements of an entry host as they come over the link. */
export interface HostMeasurements {
  readonly host: string;
  readonly startedAt: number;
  readonly services: readonly {
    readonly service: string;
    readonly counts: WindowCounts;
    readonly histogram: string;
  }[];
}

/** Asks an entry host for its measurements. */
export default interface MetricsLink {
  requestMeasurements(deadline: number): Promise<Result<HostMeasurements>>;
  close(): void;
}
