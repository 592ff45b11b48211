import { Agent, request } from 'undici';
import { v7 } from 'uuid';

import type { ExampleFleet } from '../../examples/fleet/startExampleFleet.ts';

/** What a caller knows about one booking. */
export interface Booking {
  readonly key: string;
  /** Outcomes of all tries in order; `none` when no answer came. */
  readonly outcomes: string[];
}

const triesPerBooking = 6;
const tryTimeoutMs = 8000;

/** Books with idempotency keys and resends through another entry host until the operation ran. */
export default class BookingCaller {
  readonly bookings: Booking[] = [];

  private readonly fleet: ExampleFleet;

  private readonly agent = new Agent({ connections: 32, pipelining: 1 });

  constructor(fleet: ExampleFleet) {
    this.fleet = fleet;
  }

  /** Runs one booking to its end; the first try goes through the given entry host. */
  async runBooking(firstHost: number): Promise<Booking> {
    const booking: Booking = { key: v7(), outcomes: [] };
    this.bookings.push(booking);
    for (let attempt = 0; attempt < triesPerBooking; attempt += 1) {
      booking.outcomes.push(await this.sendBooking(booking.key, firstHost + attempt));
      if (booking.outcomes.at(-1) === 'ran') break;
      await new Promise((resolve) => {
        setTimeout(resolve, 300);
      });
    }
    return booking;
  }

  /** Sends one try through an entry host; gives the outcome that it answered. */
  async sendBooking(key: string, hostNumber: number): Promise<string> {
    const { entryHosts } = this.fleet.hosts;
    const host = entryHosts[hostNumber % entryHosts.length];
    try {
      const answer = await request(`http://${host?.callers}/bookings`, {
        method: 'POST',
        headers: { 'idempotency-key': key },
        body: `{"booking":"${key}"}`,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(tryTimeoutMs),
      });
      await answer.body.dump();
      return String(answer.headers['pistachiohoist-outcome']);
    } catch {
      return 'none';
    }
  }

  /** How often each key ran, summed over all upstreams. */
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
