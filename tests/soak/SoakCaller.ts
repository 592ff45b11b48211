import { setTimeout as sleep } from 'node:timers/promises';

import { Client } from 'undici';

import { ports } from '../fixtures/PlatformFleet.ts';
import type SeededRandom from '../fixtures/SeededRandom.ts';
import type { SoakEvent } from './SoakEvent.ts';

const timeBudgetMs = 3000;
// A caller that has no answer by then gives up.
const giveUpMs = timeBudgetMs + 2000;
const meanPauseMs = 500;
// Share of the requests after which a caller opens a connection to another host.
const changeShare = 0.05;

const routes = [
  { service: 'looks', path: '/look/', method: 'GET', mayRepeat: true },
  { service: 'bookings', path: '/book/', method: 'POST', mayRepeat: false },
  { service: 'moving', path: '/moving/', method: 'GET', mayRepeat: true },
] as const;

/** Options of a caller. */
export interface SoakCallerOptions {
  readonly name: string;
  readonly random: SeededRandom;
  /** Entry hosts that the platform sends new connections to. */
  readonly listReady: () => readonly string[];
  readonly record: (event: SoakEvent) => void;
}

/** A caller that keeps its connection to a host until the host closes it. */
export default class SoakCaller {
  private readonly options: SoakCallerOptions;

  private client: Client | undefined;

  private host = '';

  private requests = 0;

  constructor(options: SoakCallerOptions) {
    this.options = options;
  }

  /** Sends requests until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.options;
    while (!signal.aborted) {
      await sleep(2 * meanPauseMs * random.next());
      if (!this.client || random.next() < changeShare) await this.connect();
      if (this.client && !signal.aborted) await this.sendRequest(this.client);
    }
    await this.client?.destroy();
  }

  private async connect(): Promise<void> {
    const { listReady, random } = this.options;
    await this.client?.destroy();
    const hosts = listReady();
    const host = hosts[Math.floor(random.next() * hosts.length)];
    this.client = host === undefined ? undefined : new Client(`http://${host}:${ports.callers}`);
    this.host = host ?? '';
  }

  private async sendRequest(client: Client): Promise<void> {
    const { name, random, record } = this.options;
    const route = routes[Math.floor(random.next() * routes.length)] ?? routes[0];
    const { service, mayRepeat } = route;
    this.requests += 1;
    const id = `${name}-${this.requests}`;
    record({ kind: 'request_sent', id, host: this.host, service, mayRepeat });
    const gaveUp = AbortSignal.timeout(giveUpMs);
    try {
      const answer = await client.request({
        ...{ method: route.method, path: `${route.path}${id}`, signal: gaveUp },
        body: mayRepeat ? null : 'booking',
        headers: {
          ...{ host: 'a.example', 'x-attempt-id': id, 'x-time-budget-ms': String(timeBudgetMs) },
        },
      });
      const { statusCode: status, headers } = answer;
      const body = await answer.body.text();
      const signature = String(headers['x-response-signature'] ?? '');
      record({ kind: 'request_answered', id, status, signature, body });
    } catch {
      if (!gaveUp.aborted) record({ kind: 'request_cut', id });
      await this.connect();
    }
  }
}
