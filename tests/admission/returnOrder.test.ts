import { describe, expect, it } from 'vitest';

import drawRetryTime from '../../src/application/requests/drawRetryTime.ts';
import ReturnTimes from '../../src/application/requests/ReturnTimes.ts';
import type CallerRequest from '../../src/application/requests/CallerRequest.ts';
import type Failure from '../../src/domain/errors/Failure.ts';
import createPreset, { createRoute, createService } from '../fixtures/createPreset.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';

const refusal: Failure = { kind: 'upstream_refused', message: '' };
const clock = new FakeClock();
const now = clock.now();
const priorities = [2, 0, 1];
const values = [1.8, 1.9, 0.48];
// Each third caller of a burst is refused and comes back; room grows until `waitMs`.
const callers = Array.from({ length: 150 }, (_, index) => priorities[index % 3] ?? 0);
const waitMs = 300;
const freedSlots = 100;
const workMs = 280;

function createRequest(priority: number | undefined, leftMs: number): CallerRequest {
  const route = createRoute(priority === undefined ? {} : { priority });
  return {
    ...{ method: 'GET', target: '/', headers: [], body: new Uint8Array(), requestId: 'request' },
    ...{ route, service: createPreset().services.history ?? createService() },
    ...{ identity: { kind: 'unchecked' }, receivedAt: now, deadline: now + leftMs },
    signal: new AbortController().signal,
  };
}

const createTimes = (expectedMs = waitMs): ReturnTimes =>
  new ReturnTimes({ clock, random: new SeededRandom(1), estimateWaitMs: () => expectedMs });

/** Value of the callers that find a slot when they come back, and can be answered in time. */
function computeValue(returnsMs: readonly number[], leftMs: number): number {
  let used = 0;
  return returnsMs
    .map((returnMs, index) => ({ returnMs, value: values[callers[index] ?? 0] ?? 0 }))
    .sort((first, second) => first.returnMs - second.returnMs)
    .reduce((sum, { returnMs, value }) => {
      const free = freedSlots * Math.min(1, returnMs / waitMs) - used;
      if (free < 1 || returnMs + workMs > leftMs) return sum;
      used += 1;
      return sum + value;
    }, 0);
}

describe('return of refused callers', () => {
  // The load: a third of the callers repeat, with one second or six seconds left.
  it.each([1000, 6000])('should be worth more than before with %s ms left', (leftMs) => {
    const times = createTimes();
    const random = new SeededRandom(1);
    const after = callers.map(
      (priority) => times.drawReturnTime(refusal, createRequest(priority, leftMs)) - now,
    );
    const before = callers.map(() => drawRetryTime(refusal, now, random) - now);

    expect(computeValue(after, leftMs)).toBeGreaterThan(computeValue(before, leftMs));
  });

  it('should be spread over twice the expected wait, the most urgent first', () => {
    const times = createTimes();
    const draw = (priority: number): number =>
      times.drawReturnTime(refusal, createRequest(priority, 6000)) - now;
    callers.forEach(draw);
    const means = [0, 1, 2].map(
      (priority) => callers.reduce((sum) => sum + draw(priority), 0) / callers.length,
    );
    const [first = 0, second = 0, third = 0] = means;

    expect(first).toBeLessThan(second);
    expect(second).toBeLessThan(third);
    expect(third).toBeLessThanOrEqual(2 * waitMs);
  });

  // Guards against callers that wait longer than they have time for, or come back in a loop.
  it('should be at most a third of the time left and at least 0.05 s', () => {
    const times = createTimes(10_000);
    const returnsMs = callers.map(
      (priority) => times.drawReturnTime(refusal, createRequest(priority, 900)) - now,
    );

    expect(Math.max(...returnsMs)).toBeLessThanOrEqual(300);
    expect(Math.min(...returnsMs)).toBeGreaterThanOrEqual(50);
  });

  it('should be as before on a route without a priority', () => {
    const times = createTimes();
    const random = new SeededRandom(1);
    const drawn = callers.map(() => times.drawReturnTime(refusal, createRequest(undefined, 900)));

    expect(drawn).toEqual(callers.map(() => drawRetryTime(refusal, now, random)));
  });
});
