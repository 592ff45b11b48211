import { expect, it } from 'vitest';

import LoadTracker from '../../src/application/requests/LoadTracker.ts';

// Guards against memory that grows with every upstream that was ever used, and against dropping the
// count of open requests during a long request.
it('should drop idle upstreams and keep those with open requests', () => {
  const tracker = new LoadTracker();
  const recordRequest = (upstream: string, now: number) => {
    tracker.recordStart('history', upstream);
    tracker.recordEnd({ service: 'history', upstream, reportedLoad: 2, now });
  };
  tracker.recordStart('history', 'open');
  Array.from({ length: 500 }, (_, index) => recordRequest(`u${index}`, 1000 + index));
  expect(tracker.size).toBe(501);

  recordRequest('last', 100_000);

  expect(tracker.size).toBe(2);
  expect(tracker.readLoad('history', 'open').inFlight).toBe(1);
});
