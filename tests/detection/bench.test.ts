import { expect, it } from 'vitest';

import runDetectionBench from '../../bench/detection/runDetectionBench.ts';

// Runs only on request, because the baselines take minutes:
// BENCH_DETECTION=1 npx vitest run tests/detection/bench
it.runIf(process.env.BENCH_DETECTION)(
  'should print the comparison of the detectors',
  () => {
    const lines: string[] = [];
    runDetectionBench(
      {
        seed: Number(process.env.MEASURE_SEED ?? 1),
        trials: Number(process.env.BENCH_TRIALS ?? 100),
        upstreamDays: Number(process.env.NOISE_UPSTREAM_DAYS ?? 0.2),
      },
      (line) => {
        lines.push(line);
        process.stdout.write(`${line}\n`);
      },
    );

    expect(lines).toHaveLength(29);
  },
  3_600_000,
);
