import { setTimeout as sleep } from 'node:timers/promises';

import { fetch } from 'undici';

import { ports } from '../fixtures/PlatformFleet.ts';
import type PlatformFleet from '../fixtures/PlatformFleet.ts';
import type SeededRandom from '../fixtures/SeededRandom.ts';
import type { SoakEvent } from './SoakEvent.ts';

const callTimeoutMs = 1000;
const changeTimeoutMs = 10_000;
const readIntervalMs = 700;
const pauseMs = 100;

/** Options of the operator. */
export interface SoakOperatorOptions {
  readonly fleet: PlatformFleet;
  readonly random: SeededRandom;
  readonly record: (event: SoakEvent) => void;
}

/** Changes the preset and reads it back, at any control host. */
export default class SoakOperator {
  private readonly options: SoakOperatorOptions;

  private lastNumber = 1;

  constructor(options: SoakOperatorOptions) {
    this.options = options;
  }

  /** The configuration with a number; the requests of one route go to either service in turn. */
  static createDocument(number: number): string {
    const route = { host: 'a.example', timeout: '3s', maxAttempts: 3 };
    return JSON.stringify({
      version: number,
      routes: [
        { ...route, pathPrefix: '/look/', kind: 'safe', service: 'looks' },
        { ...route, pathPrefix: '/book/', kind: 'unsafe', service: 'bookings' },
        {
          ...route,
          pathPrefix: '/moving/',
          kind: 'safe',
          service: SoakOperator.findService(number),
        },
      ],
      services: [{ name: 'looks' }, { name: 'bookings' }],
      limits: {
        ...{ maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000 },
        ...{ headerTimeout: '3s', idleTimeout: '15s' },
      },
    });
  }

  /** The service to which the moving route goes. */
  static findService(number: number): string {
    return number % 2 === 1 ? 'looks' : 'bookings';
  }

  /** Records the preset with which the fleet was started. */
  recordFirst(): void {
    this.recordSent(1);
    this.options.record({ kind: 'preset_acknowledged', number: 1 });
  }

  /** Sends the next preset until it is acknowledged, or for some time. */
  async changePreset(): Promise<void> {
    const { fleet, record } = this.options;
    this.lastNumber += 1;
    const number = this.lastNumber;
    const document = SoakOperator.createDocument(number);
    this.recordSent(number);
    const deadline = Date.now() + changeTimeoutMs;
    while (Date.now() < deadline) {
      const call = fleet.put(this.chooseHost(), '/config', document).then(({ status }) => status);
      if ((await this.waitCall(call)) === 200) {
        record({ kind: 'preset_acknowledged', number });
        return;
      }
      await sleep(pauseMs);
    }
  }

  /** Reads the preset at one control host after the other until the signal aborts. */
  async runReads(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.readPreset();
      await sleep(readIntervalMs);
    }
  }

  /** Reads the preset at the end of a run. */
  async readLast(): Promise<void> {
    const deadline = Date.now() + changeTimeoutMs;
    let number: number | undefined;
    while (number === undefined && Date.now() < deadline) {
      number = await this.readPreset();
      if (number === undefined) await sleep(pauseMs);
    }
    this.options.record({ kind: 'last_read', number });
  }

  private async readPreset(): Promise<number | undefined> {
    const host = this.chooseHost();
    const readAt = Date.now();
    const call = fetch(`http://${host}:${ports.operators}/pistachiohoist/config`).then(
      async (answer) =>
        answer.status === 200 ? ((await answer.json()) as { version: number }) : undefined,
    );
    const document = await this.waitCall(call);
    if (!document) return undefined;
    const { version: number } = document;
    this.options.record({ kind: 'preset_read', host, number, tookMs: Date.now() - readAt });
    return number;
  }

  private recordSent(number: number): void {
    const service = SoakOperator.findService(number);
    this.options.record({ kind: 'preset_sent', number, service });
  }

  private waitCall<Value>(call: Promise<Value>): Promise<Value | undefined> {
    const timeout = sleep(callTimeoutMs).then(() => undefined);
    return Promise.race([call.catch(() => undefined), timeout]);
  }

  private chooseHost(): string {
    const { fleet, random } = this.options;
    return fleet.controlIps[Math.floor(random.next() * fleet.controlIps.length)] ?? '';
  }
}
