import { describe, expect, it } from 'vitest';

import drawRetryTime from '../../src/application/requests/drawRetryTime.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';

describe('retry time after a refusal', () => {
  const random = new SeededRandom(1);

  function drawRange(kind: Parameters<typeof drawRetryTime>[0]): number[] {
    const times = Array.from({ length: 200 }, () => drawRetryTime(kind, 1000, random) - 1000);
    return [Math.min(...times), Math.max(...times)];
  }

  // Guards against callers that retry before any host is ready, when all hosts start at once.
  it('should give a starting host time to become ready', () => {
    const [earliest = 0, latest = 0] = drawRange('host_not_ready');

    expect(earliest).toBeGreaterThanOrEqual(1200);
    expect(latest).toBeLessThanOrEqual(1800);
  });

  it('should spread the retries after a refusal by a full service over several answer times', () => {
    const [earliest = 0, latest = 0] = drawRange('upstream_refused');

    expect(earliest).toBeGreaterThanOrEqual(400);
    expect(latest - earliest).toBeGreaterThan(600);
    expect(latest).toBeLessThanOrEqual(1200);
  });
});
