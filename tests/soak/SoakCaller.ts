import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { Client } from 'undici';

import { ports } from '../fixtures/PlatformFleet.ts';
import type SeededRandom from '../fixtures/SeededRandom.ts';
import type { SoakEvent } from './SoakEvent.ts';
import { timeBudgetMs } from './checks/LostCheck.ts';

// A caller that has no connection or no answer by then gives up.
const giveUpMs = timeBudgetMs + 2000;
const meanPauseMs = { keeping: 500, opening: 300 } as const;
// Share of the requests after which a caller changes to another host.
const changeShare = 0.05;

const routes = [
  { service: 'looks', path: '/look/', method: 'GET', mayRepeat: true },
  { service: 'bookings', path: '/book/', method: 'POST', mayRepeat: false },
  { service: 'moving', path: '/moving/', method: 'GET', mayRepeat: true },
] as const;

/**
 * Whether a caller keeps its connection until the host closes it, or opens one for each request and
 * stays with the host until that refuses one.
 */
export type CallerHabit = 'keeping' | 'opening';

/** Options of a caller. */
export interface SoakCallerOptions {
  readonly name: string;
  readonly habit: CallerHabit;
  readonly random: SeededRandom;
  /** Entry hosts that the platform sends new connections to. */
  readonly listInRotation: () => readonly string[];
  readonly record: (event: SoakEvent) => void;
}

/** A caller that sends requests to one host until it has to change or wants to. */
export default class SoakCaller {
  private readonly options: SoakCallerOptions;

  private client: Client | undefined;

  private host: string | undefined;

  private requests = 0;

  constructor(options: SoakCallerOptions) {
    this.options = options;
  }

  /** Sends requests until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { random, habit } = this.options;
    while (!signal.aborted) {
      await sleep(2 * meanPauseMs[habit] * random.next());
      const isChanging = random.next() < changeShare;
      if (isChanging) this.host = undefined;
      if (isChanging || habit === 'opening') await this.close();
      if (!this.client) await this.connect();
      if (this.client && !signal.aborted) await this.sendRequest(this.client);
    }
    await this.close();
  }

  private async close(): Promise<void> {
    const { client } = this;
    this.client = undefined;
    await client?.destroy();
  }

  private async connect(): Promise<void> {
    const { listInRotation, random, record, habit } = this.options;
    const hosts = listInRotation();
    this.host ??= hosts[Math.floor(random.next() * hosts.length)] ?? '';
    const { host } = this;
    const socket = connect(ports.callers, host).on('error', () => undefined);
    try {
      await once(socket, 'connect', { signal: AbortSignal.timeout(giveUpMs) });
    } catch {
      socket.destroy();
      record({ kind: 'connection_refused', host });
      this.host = undefined;
      return;
    }
    const client = SoakCaller.createClient(host, socket);
    client.once('disconnect', () => {
      if (this.client === client) this.client = undefined;
      if (habit === 'keeping') this.host = undefined;
    });
    this.client = client;
  }

  /** Creates a client that uses an open connection and never opens another. */
  private static createClient(host: string, socket: Socket): Client {
    return new Client(`http://${host}:${ports.callers}`, {
      connect: (_options, callback) => {
        // The client does not go on when it is called back at once.
        setImmediate(() => {
          if (socket.destroyed) callback(new Error(`connection to ${host} was closed`), null);
          else callback(null, socket);
        });
      },
    });
  }

  private async sendRequest(client: Client): Promise<void> {
    const { name, random, record } = this.options;
    const route = routes[Math.floor(random.next() * routes.length)] ?? routes[0];
    const { service, mayRepeat } = route;
    this.requests += 1;
    const id = `${name}-${this.requests}`;
    record({ kind: 'request_sent', id, host: this.host ?? '', service, mayRepeat });
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
      await this.close();
    }
  }
}
