import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Dispatcher } from 'undici';

/** A load of a fixed rate; consecutive requests go to the origins in turn. */
export interface OpenLoop {
  readonly client: Dispatcher;
  readonly origins: readonly string[];
  readonly path: string;
  /** Requests per second to each origin. */
  readonly ratePerSecond: number;
  /** Number of requests to each origin. */
  readonly requests: number;
}

/** Measurements of a load; times are in microseconds. */
export interface OpenLoopResult {
  /** Latencies of the requests to each origin, in the order of the origins. */
  readonly latencies: readonly Histogram[];
  /** How late the client sent each request: noise of this process, not part of the latencies. */
  readonly lateness: Histogram;
  readonly failures: number;
}

/** Creates an empty histogram for times in microseconds. */
export function createTimeHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3, useWebAssembly: false });
}

function recordTime(histogram: Histogram, elapsedMs: number): void {
  histogram.recordValue(Math.max(1, Math.round(elapsedMs * 1000)));
}

/**
 * Sends each request at its scheduled time, whether or not earlier ones were answered, so that a
 * slow answer neither delays later requests nor hides their waiting time.
 */
export default async function runOpenLoop(load: OpenLoop): Promise<OpenLoopResult> {
  const latencies = load.origins.map(() => createTimeHistogram());
  const lateness = createTimeHistogram();
  const intervalMs = 1000 / (load.ratePerSecond * load.origins.length);
  const startedAt = performance.now() + 5;
  let failures = 0;
  const sendRequest = async (index: number, originIndex: number): Promise<void> => {
    const scheduledAt = startedAt + index * intervalMs;
    await new Promise((resolve) => {
      setTimeout(resolve, scheduledAt - performance.now());
    });
    const sentAt = performance.now();
    recordTime(lateness, sentAt - scheduledAt);
    const answer = await load.client.request({
      origin: load.origins[originIndex] ?? '',
      path: load.path,
      method: 'GET',
    });
    await answer.body.dump();
    if (answer.statusCode !== 200) failures += 1;
    const histogram = latencies[originIndex];
    if (histogram) recordTime(histogram, performance.now() - sentAt);
  };
  await Promise.all(
    Array.from({ length: load.requests * load.origins.length }, (_, index) =>
      sendRequest(index, index % load.origins.length).catch(() => {
        failures += 1;
      }),
    ),
  );
  return { latencies, lateness, failures };
}
