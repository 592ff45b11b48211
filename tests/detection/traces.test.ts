import { readdir, readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

import { describe, expect, it } from 'vitest';

import DetectionReplay from '../../bench/detection/DetectionReplay.ts';
import type { TrafficOptions } from '../../bench/detection/DetectionTraffic.ts';
import detectors from '../../bench/detection/detectors.ts';

interface ExpectedEjections {
  /** Indexes of the upstreams that are ejected, and no others; ignored when `maxEjected` is set. */
  readonly ejected: readonly number[];
  /** Time from the start of the first fault within which each of them must be ejected. */
  readonly withinMs: number;
  /** Minimum number of ejections of each of them, 1 by default. */
  readonly minEjections?: number;
  /** Highest number of upstreams that are ejected at the same time; must match exactly. */
  readonly maxEjected?: number;
}

interface Trace extends TrafficOptions {
  readonly name: string;
  /** The failure that the trace guards against. */
  readonly guards: string;
  readonly floor: number;
  readonly durationMs: number;
  readonly warmUntil?: Readonly<Record<string, number>>;
  readonly expected: Readonly<Record<'fast' | 'sure', ExpectedEjections>>;
}

const folder = fileURLToPath(new URL('../traces/', import.meta.url));
const files = (await readdir(folder)).filter((file) => file.endsWith('.json'));
const traces = await Promise.all(
  files.map(async (file) => JSON.parse(await readFile(`${folder}${file}`, 'utf8')) as Trace),
);

describe.each(['fast', 'sure'] as const)('detection traces with %s', (preference) => {
  it.each(traces)('should eject as expected in $name: guards against $guards', (trace) => {
    const { ejected, withinMs, minEjections = 1, maxEjected } = trace.expected[preference];
    const warmUntil = new Map(
      Object.entries(trace.warmUntil ?? {}).map(([index, until]) => [Number(index), until]),
    );
    const replay = new DetectionReplay({ ...trace, ...detectors[preference], warmUntil });
    replay.runUntil(trace.durationMs);
    const recordedEjections = replay.ejections;

    if (maxEjected !== undefined) {
      expect(replay.maxConcurrentEjections).toBe(maxEjected);
      return;
    }
    expect([...new Set(recordedEjections.map(({ upstream }) => upstream))]).toEqual(ejected);
    ejected.forEach((upstream) => {
      const fromMs = trace.faults[0]?.fromMs ?? 0;
      const times = recordedEjections
        .filter((entry) => entry.upstream === upstream)
        .map(({ at }) => at);
      expect((times[0] ?? Infinity) - fromMs).toBeLessThanOrEqual(withinMs);
      expect(times.length).toBeGreaterThanOrEqual(minEjections);
    });
  });
});
