import { describe, expect, it } from 'vitest';

import drawRetryTime from '../../src/application/requests/drawRetryTime.ts';
import type Failure from '../../src/domain/errors/Failure.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';

describe('retry time after a refusal', () => {
  const random = new SeededRandom(1);

  /** Draws 200 retry times after a refusal; returns the minimum and the maximum delay. */
  function drawDelayRangeMs(failure: Failure): number[] {
    const delaysMs = Array.from({ length: 200 }, () => drawRetryTime(failure, 1000, random) - 1000);
    return [Math.min(...delaysMs), Math.max(...delaysMs)];
  }

  // Guards against callers that retry before any host is ready, when all hosts start at the same
  // time.
  it('should return a time 1.2 s to 1.8 s after a refusal by a starting host', () => {
    const [minMs = 0, maxMs = 0] = drawDelayRangeMs({ kind: 'host_not_ready', message: '' });

    expect(minMs).toBeGreaterThanOrEqual(1200);
    expect(maxMs).toBeLessThanOrEqual(1800);
  });

  // Guards against callers of a full service that all retry at the same time, or before a slot is
  // free again.
  it('should spread the times over more than 0.6 s between 0.4 s and 1.2 s after a refusal by an upstream', () => {
    const [minMs = 0, maxMs = 0] = drawDelayRangeMs({ kind: 'upstream_refused', message: '' });

    expect(minMs).toBeGreaterThanOrEqual(400);
    expect(maxMs - minMs).toBeGreaterThan(600);
    expect(maxMs).toBeLessThanOrEqual(1200);
  });

  // Guards against callers that return before a limit allows another request, or all at once.
  it('should spread the times over more than 0.6 s after the instant at which a limit allows a request', () => {
    const failure = { kind: 'upstreams_limited', message: '', retryAt: 3500 } as const;
    const [minMs = 0, maxMs = 0] = drawDelayRangeMs(failure);

    expect(minMs).toBeGreaterThanOrEqual(2500);
    expect(maxMs - minMs).toBeGreaterThan(600);
    expect(maxMs).toBeLessThanOrEqual(3300);
  });
});
