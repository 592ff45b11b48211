import { afterAll, beforeAll } from 'vitest';

import { startExampleFleet } from '../../examples/fleet/startExampleFleet.ts';
import type { ExampleFleet, ExampleSizes } from '../../examples/fleet/startExampleFleet.ts';
import BookingCaller from './BookingCaller.ts';

// A process takes seconds to start on a busy machine.
const hookTimeoutMs = 60_000;

/** A running fleet and a caller that sends bookings through it. */
export interface StartedFleet {
  readonly fleet: ExampleFleet;
  readonly caller: BookingCaller;
}

/**
 * Starts one fleet before the tests of a file and stops it after them. Returns a function through
 * which the tests get the fleet; the function throws when the fleet is not started yet.
 */
export default function useExampleFleet(sizes: ExampleSizes): () => StartedFleet {
  let started: StartedFleet | undefined;

  beforeAll(async () => {
    const fleet = await startExampleFleet(sizes);
    started = { fleet, caller: new BookingCaller(fleet) };
  }, hookTimeoutMs);

  afterAll(async () => {
    await started?.caller.close();
    await started?.fleet.stopAll();
  }, hookTimeoutMs);

  return () => {
    if (!started) throw new Error('useExampleFleet: the fleet is not started yet');
    return started;
  };
}
