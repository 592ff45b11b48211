import { expect, it } from 'vitest';

import ReporterHistory from '../../src/domain/detection/ReporterHistory.ts';

const answers = { failed: 3, slow: 0, good: 1, overdue: 0 };

// Guards against a history that grows without bound when upstreams come and go under new names.
it('should reuse the slot of a dropped upstream for the next one', () => {
  const history = new ReporterHistory();
  Array.from({ length: 100 }, (_, index) => `u${index}`).forEach((upstream) => {
    history.recordAnswers('entry-1', { upstream, ...answers }, 0);
    history.dropUpstream(upstream);
  });

  expect(history.size).toBe(1);
});

// Guards against counting the answers of a dropped upstream for the one that reuses its slot.
it('should forget the answers of a dropped upstream', () => {
  const history = new ReporterHistory();
  history.recordAnswers('entry-1', { upstream: 'a', ...answers }, 0);
  expect(history.computeReporterFaultShare('failed', 'entry-1', 'other')).toBe(0.5);

  history.dropUpstream('a');
  history.recordAnswers('entry-1', { upstream: 'b', ...answers, failed: 0 }, 0);

  expect(history.computeReporterFaultShare('failed', 'entry-1', 'other')).toBe(0);
});
