import type { LatencySummary } from '../domain/metrics/BurnReport.ts';

/** Records latencies in histograms, one for each service. */
export default interface LatencyRecorder {
  recordLatency(service: string, elapsedMs: number): void;
  /** The histogram of a service in a form that `mergeHistograms` reads; empty text when none. */
  encodeHistogram(service: string): string;
}

/** Merges encoded histograms of several hosts. */
export interface HistogramMerger {
  /** Throws when a text is no histogram. */
  mergeHistograms(encoded: readonly string[]): LatencySummary;
}
