import { Agent, request } from 'undici';
import { v7 } from 'uuid';

import type { ExampleFleet } from '../../examples/fleet/startExampleFleet.ts';

/** A booking and the outcomes that its caller received. */
export interface Booking {
  readonly key: string;
  /** Outcome of each attempt in order; `none` for an attempt without an answer. */
  readonly outcomes: string[];
}

const maxAttempts = 6;
const attemptTimeoutMs = 8000;

/** Sends bookings with idempotency keys and retries each through other entry hosts until it ran. */
export default class BookingCaller {
  readonly bookings: Booking[] = [];

  private readonly fleet: ExampleFleet;

  private readonly agent = new Agent({ connections: 32, pipelining: 1 });

  constructor(fleet: ExampleFleet) {
    this.fleet = fleet;
  }

  /** Sends one booking until it has run, at most 6 times; starts with the given entry host. */
  async runBooking(firstHost: number): Promise<Booking> {
    const booking: Booking = { key: v7(), outcomes: [] };
    this.bookings.push(booking);
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      booking.outcomes.push(await this.sendBooking(booking.key, firstHost + attempt));
      if (booking.outcomes.at(-1) === 'ran') break;
      await new Promise((resolve) => {
        setTimeout(resolve, 300);
      });
    }
    return booking;
  }

  /** Makes one attempt through an entry host; returns the outcome in the answer, or `none`. */
  async sendBooking(key: string, hostNumber: number): Promise<string> {
    const { entryHosts } = this.fleet.hosts;
    const host = entryHosts[hostNumber % entryHosts.length];
    try {
      const answer = await request(`http://${host?.callers}/bookings`, {
        method: 'POST',
        headers: { 'idempotency-key': key },
        body: `{"booking":"${key}"}`,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(attemptTimeoutMs),
      });
      await answer.body.dump();
      return String(answer.headers['pistachiohoist-outcome']);
    } catch {
      return 'none';
    }
  }

  /** Counts how often the operation of each key ran, summed over all upstreams. */
  async countRuns(): Promise<ReadonlyMap<string, number>> {
    const answers = await Promise.all(
      this.fleet.upstreams.map(async ({ control }) => {
        const answer = await request(`http://${control}/runs`);
        return Object.entries((await answer.body.json()) as Record<string, number>);
      }),
    );
    const totals = new Map<string, number>();
    answers.flat().forEach(([key, count]) => totals.set(key, (totals.get(key) ?? 0) + count));
    return totals;
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}
