import type { LatencySummary } from '../domain/metrics/BurnReport.ts';

/** Records latencies in histograms, one for each service. */
export default interface LatencyRecorder {
  recordLatency(service: string, elapsedMs: number): void;
  /**
   * Returns the histogram of a service, encoded for `mergeHistograms`; an empty string when there
   * is none.
   */
  encodeHistogram(service: string): string;
}

/** Merges encoded histograms of several hosts. */
export interface HistogramMerger {
  /** Throws when a string can't be decoded as a histogram. */
  mergeHistograms(encoded: readonly string[]): LatencySummary;
}
