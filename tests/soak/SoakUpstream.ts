import { setTimeout as sleep } from 'node:timers/promises';

import type PlatformFleet from '../fixtures/PlatformFleet.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import type { RawRequest } from '../fixtures/RawUpstream.ts';
import type SeededRandom from '../fixtures/SeededRandom.ts';
import FaultProxy from './FaultProxy.ts';
import type { SoakEvent } from './SoakEvent.ts';
import type { LinkFault, UpstreamMode } from './SoakPlan.ts';
import { createAnswerParts } from './checks/MixedCheck.ts';

const heartbeatMs = 1500;
const callTimeoutMs = 1000;
const pauseMs = 50;
// An upstream that leaves serves for this long after it was acknowledged.
const servingMs = 4000;
const faultyShare = 0.7;
const slowMs = 1500;
const endlessChunk = Buffer.alloc(16_384, 'x');

/** Options of an upstream. */
export interface SoakUpstreamOptions {
  readonly name: string;
  readonly service: string;
  readonly fleet: PlatformFleet;
  readonly random: SeededRandom;
  readonly record: (event: SoakEvent) => void;
}

/** A stand-in upstream, which announces itself and can be faulty. */
export default class SoakUpstream {
  readonly name: string;

  readonly service: string;

  private mode: UpstreamMode = 'good';

  private readonly options: SoakUpstreamOptions;

  private readonly server = new RawUpstream((request) => this.answerRequest(request));

  private proxy: FaultProxy | undefined;

  private address = '';

  private readonly bornAt = Date.now();

  private sequence = 0;

  private isLeaving = false;

  private isClosed = false;

  private task: Promise<void> = Promise.resolve();

  constructor(options: SoakUpstreamOptions) {
    this.options = options;
    this.name = options.name;
    this.service = options.service;
  }

  /** Opens the upstream and announces it until it is closed. */
  async start(): Promise<void> {
    const target = await this.server.open();
    this.proxy = new FaultProxy(Number(target.split(':')[1]));
    this.address = `127.0.0.1:${await this.proxy.open()}`;
    this.task = this.announceRepeatedly();
  }

  /** Sets how the upstream treats requests from now on. */
  setMode(mode: UpstreamMode): void {
    this.mode = mode;
  }

  setLinkFault(fault: LinkFault | undefined): void {
    this.proxy?.setFault(fault);
  }

  /** Announces that the upstream leaves, serves for a while and closes. */
  async leave(): Promise<void> {
    const { record } = this.options;
    if (!(await this.announce('draining'))) return;
    record({ kind: 'leaving_acknowledged', upstream: this.name });
    await sleep(servingMs);
    await this.close();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.server.close();
    this.proxy?.close();
    await this.task;
  }

  private async announceRepeatedly(): Promise<void> {
    while (!this.isClosed) {
      await this.announce('ready');
      await sleep(heartbeatMs);
    }
  }

  /** Announces a state to one control host after the other; returns whether one acknowledged. */
  private async announce(state: 'ready' | 'draining'): Promise<boolean> {
    const { fleet, random, service } = this.options;
    if (this.isLeaving && state === 'ready') return false;
    this.isLeaving ||= state === 'draining';
    const deadline = Date.now() + 10 * callTimeoutMs;
    while (!this.isClosed && Date.now() < deadline) {
      this.sequence += 1;
      const { sequence, address, bornAt: born } = this;
      const content = {
        ...{ service, address, zone: 'north', version: 'v1' },
        ...{ slots: 4, state, warmupLeft: '0ms' },
      };
      const body = JSON.stringify({ ...content, sequence, born });
      const ip = fleet.controlIps[Math.floor(random.next() * fleet.controlIps.length)] ?? '';
      const call = fleet.put(ip, `/instances/${this.name}`, body).then(({ ok }) => ok);
      const isAcknowledged = await Promise.race([
        call.catch(() => false),
        sleep(callTimeoutMs).then(() => false),
      ]);
      if (isAcknowledged) return true;
      await sleep(pauseMs);
    }
    return false;
  }

  private answerRequest({ head, socket }: RawRequest): void {
    const { record, random } = this.options;
    const { name: upstream, service } = this;
    const id = /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? '';
    const expected = /x-expected-instance: (\S+)/i.exec(head)?.[1];
    record({ kind: 'request_arrived', id, upstream, service });
    const isFaulty = random.next() < faultyShare;
    const mode = isFaulty ? this.mode : 'good';
    if (expected !== undefined && expected !== upstream) {
      socket.write(this.formatHead(421, id, ['x-not-executed: 1', 'content-length: 0']));
    } else if (mode === 'refusing') {
      socket.write(this.formatHead(503, id, ['x-not-executed: 1', 'content-length: 0']));
    } else {
      record({ kind: 'request_ran', id, upstream });
      this.finishRequest(socket, id, mode).catch(() => socket.destroy());
    }
  }

  private async finishRequest(
    socket: RawRequest['socket'],
    id: string,
    mode: UpstreamMode,
  ): Promise<void> {
    const { signature, body } = createAnswerParts(id, this.name);
    const fields = [`x-response-signature: ${signature}`, `content-length: ${body.length}`];
    const answer = this.formatHead(mode === 'failing' ? 500 : 200, id, fields) + body;
    await sleep(mode === 'slow' ? slowMs : 10 + 40 * this.options.random.next());
    if (mode === 'hanging' || socket.destroyed) return;
    if (mode === 'resetting') socket.resetAndDestroy();
    else if (mode === 'truncating') socket.end(answer.slice(0, answer.length - 100));
    else if (mode === 'endless') {
      socket.write(this.formatHead(200, id, [`x-response-signature: ${signature}`]));
      this.writeEndless(socket);
    } else socket.write(answer);
    if (mode !== 'doubling') return;
    await sleep(300 * this.options.random.next());
    if (!socket.destroyed) socket.write(answer);
  }

  private writeEndless(socket: RawRequest['socket']): void {
    if (!socket.destroyed) {
      socket.write(endlessChunk, () => setTimeout(() => this.writeEndless(socket), 1));
    }
  }

  private formatHead(status: number, id: string, fields: readonly string[]): string {
    return `${[`HTTP/1.1 ${status} soak`, `x-attempt-id: ${id}`, ...fields].join('\r\n')}\r\n\r\n`;
  }
}
