import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Dispatcher } from 'undici';

/** A load of fixed rate over one or more ways, which take turns request by request. */
export interface OpenLoop {
  readonly client: Dispatcher;
  readonly origins: readonly string[];
  readonly path: string;
  /** Requests per second on each way. */
  readonly ratePerSecond: number;
  /** Requests on each way. */
  readonly requests: number;
}

/** What a load measured; times are in microseconds. */
export interface OpenLoopResult {
  /** Latencies of each way, in the order of the origins. */
  readonly latencies: readonly Histogram[];
  /** How late the client sent: noise of this process, which no latency contains. */
  readonly lateness: Histogram;
  readonly failures: number;
}

/** An empty histogram for times in microseconds. */
export function createTimes(): Histogram {
  return build({ numberOfSignificantValueDigits: 3, useWebAssembly: false });
}

function recordTime(histogram: Histogram, elapsedMs: number): void {
  histogram.recordValue(Math.max(1, Math.round(elapsedMs * 1000)));
}

/**
 * Sends requests at their scheduled instants whether or not earlier ones were answered, so that a
 * slow answer delays no later request and hides no waiting time.
 */
export default async function runOpenLoop(load: OpenLoop): Promise<OpenLoopResult> {
  const latencies = load.origins.map(() => createTimes());
  const lateness = createTimes();
  const intervalMs = 1000 / (load.ratePerSecond * load.origins.length);
  const startedAt = performance.now() + 5;
  let failures = 0;
  const sendOne = async (index: number, way: number): Promise<void> => {
    const scheduledAt = startedAt + index * intervalMs;
    await new Promise((resolve) => {
      setTimeout(resolve, scheduledAt - performance.now());
    });
    const sentAt = performance.now();
    recordTime(lateness, sentAt - scheduledAt);
    const answer = await load.client.request({
      origin: load.origins[way] ?? '',
      path: load.path,
      method: 'GET',
    });
    await answer.body.dump();
    if (answer.statusCode !== 200) failures += 1;
    const histogram = latencies[way];
    if (histogram) recordTime(histogram, performance.now() - sentAt);
  };
  await Promise.all(
    Array.from({ length: load.requests * load.origins.length }, (_, index) =>
      sendOne(index, index % load.origins.length).catch(() => {
        failures += 1;
      }),
    ),
  );
  return { latencies, lateness, failures };
}
