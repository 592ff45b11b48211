import { describe, expect, it } from 'vitest';

import drawRetryTime from '../../src/application/requests/drawRetryTime.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';

describe('time to return after a refusal', () => {
  const random = new SeededRandom(1);

  function drawMany(kind: Parameters<typeof drawRetryTime>[0]): number[] {
    const times = Array.from({ length: 200 }, () => drawRetryTime(kind, 1000, random) - 1000);
    return [Math.min(...times), Math.max(...times)];
  }

  // Pattern: all hosts start at once. Guards against callers that come back before any is ready.
  it('should leave a host that starts the time to become ready', () => {
    const [soonest = 0, latest = 0] = drawMany('host_not_ready');

    expect(soonest).toBeGreaterThanOrEqual(1200);
    expect(latest).toBeLessThanOrEqual(1800);
  });

  it('should spread those whom a full service refused over the time of a few answers', () => {
    const [soonest = 0, latest = 0] = drawMany('upstream_refused');

    expect(soonest).toBeGreaterThanOrEqual(400);
    expect(latest - soonest).toBeGreaterThan(600);
    expect(latest).toBeLessThanOrEqual(1200);
  });
});
