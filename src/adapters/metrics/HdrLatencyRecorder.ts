import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import type { LatencySummary } from '../../domain/metrics/BurnReport.ts';
import type LatencyRecorder from '../../ports/LatencyRecorder.ts';
import type { HistogramMerger } from '../../ports/LatencyRecorder.ts';

const microsecondsPerMs = 1000;
const maxMs = 600_000;

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2 * microsecondsPerMs,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}

/** Records latencies in HDR histograms, in microseconds with two significant digits. */
export default class HdrLatencyRecorder implements LatencyRecorder, HistogramMerger {
  private readonly histograms = new Map<string, Histogram>();

  recordLatency(service: string, elapsedMs: number): void {
    const bounded = Math.min(Math.max(elapsedMs, 0), maxMs);
    this.getHistogram(service).recordValue(Math.round(bounded * microsecondsPerMs));
  }

  encodeHistogram(service: string): string {
    const histogram = this.histograms.get(service);
    return histogram ? encodeIntoCompressedBase64(histogram) : '';
  }

  mergeHistograms(encoded: readonly string[]): LatencySummary {
    const merged = createHistogram();
    encoded
      .filter((text) => text !== '')
      .forEach((text) => merged.add(decodeFromCompressedBase64(text, 32)));
    const readPercentileMs = (percentile: number): number =>
      merged.getValueAtPercentile(percentile) / microsecondsPerMs;
    return {
      count: merged.totalCount,
      p50: readPercentileMs(50),
      p90: readPercentileMs(90),
      p99: readPercentileMs(99),
      max: merged.maxValue / microsecondsPerMs,
    };
  }

  private getHistogram(service: string): Histogram {
    const known = this.histograms.get(service);
    if (known) return known;
    const histogram = createHistogram();
    this.histograms.set(service, histogram);
    return histogram;
  }
}
