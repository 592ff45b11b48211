import { expect, it } from 'vitest';

import StopSteps from '../../src/application/lifecycle/StopSteps.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

// Guards against a process that ends with an error, or is killed, because one step of its stop
// failed or hung.
it('should go on to the next step when one fails, and at the deadline when one hangs', async () => {
  const clock = new FakeClock();
  const log = new SilentLog();
  const steps = new StopSteps({ clock, log, deadline: clock.now() + 1000 });

  await steps.runStep('failing', () => Promise.reject(new Error('refused')));
  const hanging = steps.runStep('hanging', () => new Promise<void>(() => undefined));
  await clock.advanceBy(1000);
  await hanging;
  await steps.runStep('ending', async () => undefined);

  expect(log.messages).toEqual(['lifecycle: failing failed', 'lifecycle: hanging takes too long']);
});

// Guards against an error of a call that is not asynchronous, such as closing a socket twice, which
// ends the process before the answers of its other listeners are out.
it('should go on to the next step when one throws', async () => {
  const log = new SilentLog();
  const steps = new StopSteps({ clock: new FakeClock(), log, deadline: Infinity });
  const ran: string[] = [];

  await steps.runStep('closing the first', () => {
    throw new Error('Not running');
  });
  await steps.runStep('closing the second', () => Promise.reject(new Error('broken')));
  await steps.runStep('closing the third', () => void ran.push('third'));

  expect(ran).toEqual(['third']);
  expect(log.messages).toEqual([
    'lifecycle: closing the first failed',
    'lifecycle: closing the second failed',
  ]);
});
