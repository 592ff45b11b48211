import { expect, it } from 'vitest';

import runStopSteps from '../../src/application/lifecycle/runStopSteps.ts';
import SilentLog from '../fixtures/SilentLog.ts';

// Guards against an error while stopping that ends the process before its answers are out.
it('should run the later steps of a stop after one that fails, and log the failure', async () => {
  const log = new SilentLog();
  const ran: string[] = [];

  await runStopSteps(log, [
    [
      'closing the first',
      () => {
        throw new Error('Not running');
      },
    ],
    ['closing the second', () => Promise.reject(new Error('broken'))],
    ['closing the third', () => void ran.push('third')],
  ]);

  expect(ran).toEqual(['third']);
  expect(log.messages).toEqual([
    'lifecycle: closing the first failed',
    'lifecycle: closing the second failed',
  ]);
});
