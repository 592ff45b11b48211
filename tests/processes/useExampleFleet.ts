import { afterAll, beforeAll } from 'vitest';

import { startExampleFleet } from '../../examples/fleet/startExampleFleet.ts';
import type { ExampleFleet, ExampleSizes } from '../../examples/fleet/startExampleFleet.ts';
import BookingCaller from './BookingCaller.ts';

// On a busy machine a process takes seconds to start.
const maxChangeMs = 60_000;

/** A running fleet and a caller that books through it. */
export interface StartedFleet {
  readonly fleet: ExampleFleet;
  readonly caller: BookingCaller;
}

/** Starts a fleet for all tests of the file; the returned function gives it to each test. */
export default function useExampleFleet(sizes: ExampleSizes): () => StartedFleet {
  let started: StartedFleet | undefined;

  beforeAll(async () => {
    const fleet = await startExampleFleet(sizes);
    started = { fleet, caller: new BookingCaller(fleet) };
  }, maxChangeMs);

  afterAll(async () => {
    await started?.caller.close();
    await started?.fleet.stopAll();
  }, maxChangeMs);

  return () => {
    if (!started) throw new Error('getStarted: the fleet was not started');
    return started;
  };
}
