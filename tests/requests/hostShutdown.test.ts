import { describe, expect, it } from 'vitest';

import Shutdown from '../../src/application/lifecycle/Shutdown.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

function createShutdown(options: { readonly failingStep?: string } = {}) {
  const clock = new FakeClock();
  const start = clock.now();
  const steps: string[] = [];
  const runStep = async (name: string): Promise<void> => {
    steps.push(`${clock.now() - start} ${name}`);
    if (name === options.failingStep) throw new Error('refused');
  };
  const shutdown = new Shutdown({
    clock,
    log: new SilentLog(),
    readiness: { markStopping: () => steps.push(`${clock.now() - start} not ready`) },
    listeners: [
      {
        startClose: () => steps.push(`${clock.now() - start} connection: close`),
        closeListener: async () => {
          await runStep('listener closed');
          await clock.sleepUntil(start + 5000);
          await runStep('requests answered');
        },
      },
    ],
    claims: { waitIdle: () => runStep('claims delivered') },
    hostRecord: {
      announceStopping: () => runStep('announced'),
      removeRecord: () => runStep('record removed'),
    },
    stopGraceMs: 1000,
  });
  return { clock, steps, shutdown };
}

const expectedSteps = [
  '0 not ready',
  '0 connection: close',
  '0 announced',
  '1000 listener closed',
  '5000 requests answered',
  '5000 claims delivered',
  '5000 record removed',
];

describe('shutdown', () => {
  // Guards against closing the listener before the load balancer has noticed that the host stops,
  // and against removing the host record while requests are open.
  it('should run its steps in order and wait for open requests', async () => {
    const { clock, steps, shutdown } = createShutdown();

    const stopped = shutdown.stopHost();
    const stoppedAgain = shutdown.stopHost();
    await clock.advanceBy(4999);
    expect(steps).toEqual(expectedSteps.slice(0, 4));
    await clock.advanceBy(1);
    await Promise.all([stopped, stoppedAgain]);

    expect(steps).toEqual(expectedSteps);
  });

  // Guards against claim completions that are not delivered because an earlier step failed.
  it('should run the other steps when one fails', async () => {
    const { clock, steps, shutdown } = createShutdown({ failingStep: 'announced' });

    const stopped = shutdown.stopHost();
    await clock.advanceBy(6000);
    await stopped;

    expect(steps).toEqual(expectedSteps);
  });
});
