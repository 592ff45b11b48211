import type Result from '../domain/errors/Result.ts';
import type { WindowCounts } from '../domain/metrics/BurnWindow.ts';

/** Measurements of an entry host as they come over the link. */
export interface RemoteSnapshot {
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
  requestSnapshot(deadline: number): Promise<Result<RemoteSnapshot>>;
  close(): void;
}
