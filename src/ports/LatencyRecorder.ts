/** Latency of a service, merged over hosts, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

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
