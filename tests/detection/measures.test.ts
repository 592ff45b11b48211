import { describe, expect, it } from 'vitest';

import type { TrafficFault } from '../../bench/detection/DetectionTraffic.ts';
import {
  measureDetection,
  measureFalseEjections,
  computeQuantile,
} from '../../bench/detection/measureDetection.ts';
import type { DetectorName } from '../../bench/detection/detectors.ts';

const seed = Number(process.env.MEASURE_SEED ?? 1);
const noise = {
  upstreamDays: Number(process.env.NOISE_UPSTREAM_DAYS ?? 0.25),
  rate: Number(process.env.NOISE_RATE ?? 20),
};
const traffic = { hosts: 46, upstreams: 8, rate: 20, seed };
const faults: Pick<TrafficFault, 'kind' | 'factor' | 'share'>[] = [
  { kind: 'slow', factor: 10 },
  { kind: 'wrong', share: 0.3 },
];

// The bounds are the targets of docs/design.md, section 1.2.
describe(`detection targets, MEASURE_SEED=${seed}`, () => {
  it.each(faults)(
    'should detect $kind upstreams with fast within 1 s in the median and 3 s at p99',
    (fault) => {
      const times = measureDetection({
        ...{ ...traffic, detector: 'fast', fault, trials: 100, maxMs: 10_000 },
      });

      expect(computeQuantile(times, 0.5)).toBeLessThanOrEqual(1000);
      expect(computeQuantile(times, 0.99)).toBeLessThanOrEqual(3000);
    },
  );

  it.each(faults)('should detect every case of $kind upstreams with sure within 10 s', (fault) => {
    const times = measureDetection({
      ...{ ...traffic, detector: 'sure', fault, trials: 50, maxMs: 20_000 },
    });

    expect(computeQuantile(times, 1)).toBeLessThanOrEqual(10_000);
  });

  // Guards against `sure` ejecting healthy upstreams. NOISE_UPSTREAM_DAYS sets how much traffic is
  // simulated; the test takes long for large values.
  it(`should eject no healthy upstream in ${noise.upstreamDays} upstream-days at ${noise.rate} requests/s with sure`, () => {
    const result = measureFalseEjections({
      ...{ ...traffic, upstreams: 15, detector: 'sure' },
      ...noise,
    });

    expect(result.ejections).toBe(0);
  }, 3_600_000);

  // Guards against detection with the evidence of all hosts that is slower, or ejects more healthy
  // upstreams, than the detection of a single host.
  it.each<DetectorName>(['consecutive', 'success_rate'])(
    'should detect at least as fast as %s and eject no more healthy upstreams',
    (baseline) => {
      const measure = (detector: DetectorName) => ({
        time: faults.map((fault) =>
          computeQuantile(
            measureDetection({ ...traffic, detector, fault, trials: 9, maxMs: 15_000 }),
            0.5,
          ),
        ),
        ejections: measureFalseEjections({ ...traffic, detector, upstreamDays: 0.02 }).ejections,
      });
      const singleHost = measure(baseline);

      (['fast', 'sure'] as const).map(measure).forEach((allHosts) => {
        allHosts.time.forEach((time, index) =>
          expect(time).toBeLessThanOrEqual(singleHost.time[index] ?? Infinity),
        );
        expect(allHosts.ejections).toBeLessThanOrEqual(singleHost.ejections);
      });
    },
  );
});
