import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Dispatcher } from 'undici';

/** A load of fixed rate. */
export interface OpenLoop {
  readonly client: Dispatcher;
  readonly origin: string;
  readonly path: string;
  readonly ratePerSecond: number;
  readonly requests: number;
}

/** What a load measured; latencies are in microseconds. */
export interface OpenLoopResult {
  readonly latencies: Histogram;
  readonly failures: number;
}

/** An empty histogram for latencies in microseconds. */
export function createLatencies(): Histogram {
  return build({ numberOfSignificantValueDigits: 3, useWebAssembly: false });
}

/**
 * Sends requests at their scheduled instants whether or not earlier ones were answered, so that a
 * slow answer delays no later request and hides no waiting time.
 */
export default async function runOpenLoop(load: OpenLoop): Promise<OpenLoopResult> {
  const latencies = createLatencies();
  const startedAt = performance.now() + 5;
  let failures = 0;
  const sendOne = async (index: number): Promise<void> => {
    const scheduledAt = startedAt + (index * 1000) / load.ratePerSecond;
    await new Promise((resolve) => {
      setTimeout(resolve, scheduledAt - performance.now());
    });
    // A timer that fired late is noise of this process, not of the fleet.
    const sentAt = performance.now();
    const answer = await load.client.request({
      origin: load.origin,
      path: load.path,
      method: 'GET',
    });
    await answer.body.dump();
    if (answer.statusCode !== 200) failures += 1;
    latencies.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * 1000)));
  };
  await Promise.all(
    Array.from({ length: load.requests }, (_, index) =>
      sendOne(index).catch(() => {
        failures += 1;
      }),
    ),
  );
  return { latencies, failures };
}
