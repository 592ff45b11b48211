import { describe, expect, it } from 'vitest';

import Shutdown from '../../src/application/lifecycle/Shutdown.ts';
import StopSchedule from '../../src/application/lifecycle/StopSchedule.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

interface ShutdownCase {
  readonly failingStep?: string;
  /** Time after the start by which every request has to be answered. */
  readonly answerMs?: number;
  /** Times after the start at which the listener accepts a connection. */
  readonly connections?: readonly number[];
}

function createShutdown(options: ShutdownCase = {}) {
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
    readiness: {
      markStopping: () => {
        steps.push(`${clock.now() - start} not ready`);
        return start + (options.answerMs ?? Infinity);
      },
    },
    listeners: [
      {
        get lastConnectionAt() {
          const accepted = (options.connections ?? []).map((ms) => start + ms);
          return Math.max(...accepted.filter((time) => time <= clock.now()));
        },
        startClose: () => steps.push(`${clock.now() - start} connection: close`),
        closeListener: async (deadline) => {
          await runStep('listener closed');
          await clock.sleepUntil(Math.min(start + 5000, deadline));
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

  // Guards against a host that is killed while it waits for the deadlines of its requests.
  it.each([
    [3000, ['1000 listener closed', '3000 requests answered']],
    [400, ['400 listener closed', '400 requests answered']],
  ])('should answer every request within %s ms', async (answerMs, expected) => {
    const { clock, steps, shutdown } = createShutdown({ answerMs });

    const stopped = shutdown.stopHost();
    await clock.advanceBy(6000);
    await stopped;

    expect(steps.slice(3, 5)).toEqual(expected);
  });
});

describe('shutdown while connections still arrive', () => {
  // Guards against connections that end without an answer, because a load balancer on a busy
  // machine notices late that a host stops.
  it.each([
    ['none arrives late', [150], Infinity, 1000],
    ['the last one arrives before the grace ends', [700], Infinity, 1500],
    ['the last one arrives after it', [900, 950], Infinity, 1750],
    ['they do not end', [900, 1200, 1500, 1799], Infinity, 1800],
    ['the time to answer is short', [900, 1200, 1500], 2500, 1500],
    ['the time to answer is shorter', [900], 1500, 1000],
  ])(
    'should close the listener in time when %s',
    async (_title, connections, answerMs, closedAt) => {
      const { clock, steps, shutdown } = createShutdown({ connections, answerMs });

      const stopped = shutdown.stopHost();
      await clock.advanceBy(20_000);
      await stopped;

      expect(steps[3]).toBe(`${closedAt} listener closed`);
    },
  );
});

describe('StopSchedule', () => {
  function createSchedule(killMs = 6000) {
    const clock = new FakeClock();
    const schedule = new StopSchedule({
      clock,
      killMs,
      estimateAttemptMs: (service) => (service === 'slow' ? 3000 : 500),
    });
    return { clock, schedule };
  }

  it('should allow every attempt before the stop', async () => {
    const { clock, schedule } = createSchedule();
    await clock.advanceBy(60_000);

    expect([schedule.isStopping, schedule.mayStart('slow')]).toEqual([false, true]);
  });

  // Reported by other operators: requests that came late in the grace of a planned stop were
  // forwarded, and cut without an answer when the process was killed.
  it('should allow only attempts that will most likely end before the process is killed', async () => {
    const { clock, schedule } = createSchedule();
    const answerDeadline = schedule.startStop() - clock.now();
    const allowed = [];
    for (const ms of [0, 2100, 2101, 4600, 4601]) {
      await clock.advanceTo(schedule.startStop() - answerDeadline + ms);
      allowed.push([ms, schedule.mayStart('slow'), schedule.mayStart('quick')]);
    }

    expect(answerDeadline).toBe(5100);
    expect(allowed).toEqual([
      [0, true, true],
      [2100, true, true],
      [2101, false, true],
      [4600, false, true],
      [4601, false, false],
    ]);
  });

  // Guards against a host that is killed on a busy machine before its last answers have reached
  // their callers.
  it.each([
    [10_000, 9100],
    [4000, 3200],
    [0, 0],
  ])(
    'should keep time for the exit of a process that is killed after %i ms',
    (killMs, answerMs) => {
      const { clock, schedule } = createSchedule(killMs);

      expect(schedule.startStop() - clock.now()).toBe(answerMs);
    },
  );
});
