import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import sendCall from './sendCall.mjs';

const heartbeatMs = 1500;
const callTimeoutMs = 1000;
const maxBackoffMs = 400;

// Requests that wait for a slot; further ones are rejected.
const maxWaiting = 8;

/** A stand-in target: it announces itself, runs requests in its slots and can leave. */
export default class Target {
  state = 'ready';

  sequence = 0;

  running = 0;

  waiting = [];

  heartbeatAddress = undefined;

  isClosed = false;

  constructor(options) {
    const { id, service, zone, ip, port, record, listControl, workMs = 20, slots = 4 } = options;
    Object.assign(this, { id, service, zone, ip, port, record, listControl, workMs, slots });
    this.server = createServer((request, response) => this.serveRequest(request, response));
    this.server.keepAliveTimeout = 10_000;
  }

  async start() {
    this.born = Date.now();
    await new Promise((resolve) => {
      this.server.listen(this.port, this.ip, resolve);
    });
    this.record({ event: 'target started', id: this.id, address: `${this.ip}:${this.port}` });
    await this.announceState();
    this.heartbeats = this.runHeartbeats();
  }

  /** Sends DELETE until a daemon acknowledges it, then goes on serving for `servingMs`. */
  async leaveAtOnce(servingMs) {
    this.state = 'gone';
    const acknowledgedAt = await this.callControl('DELETE', '', 6000);
    this.record({ event: 'leave acknowledged', id: this.id, acknowledgedAt });
    if (acknowledgedAt !== undefined) await sleep(servingMs);
    this.close();
    return acknowledgedAt;
  }

  /** Reports `draining` until a daemon acknowledges it, and goes on serving. */
  async drain() {
    this.state = 'draining';
    this.sequence += 1;
    const acknowledgedAt = await this.callControl('PUT', this.describe(), 6000);
    this.record({ event: 'draining acknowledged', id: this.id, acknowledgedAt });
    return acknowledgedAt;
  }

  /** Ends at once, as in a crash. */
  close() {
    if (this.isClosed) return;
    this.isClosed = true;
    this.record({ event: 'target ended', id: this.id });
    this.server.close();
    this.server.closeAllConnections();
  }

  describe() {
    return JSON.stringify({
      ...{ service: this.service, address: `${this.ip}:${this.port}`, zone: this.zone },
      ...{ version: 'v1', slots: this.slots, state: this.state, warmupLeft: '0ms' },
      ...{ sequence: this.sequence, born: this.born },
    });
  }

  async runHeartbeats() {
    while (!this.isClosed && this.state !== 'gone') {
      await sleep(heartbeatMs);
      if (!this.isClosed && this.state !== 'gone') await this.announceState();
    }
  }

  async announceState() {
    this.sequence += 1;
    await this.callControl('PUT', this.describe(), callTimeoutMs * 5);
  }

  /**
   * Calls the daemon that asked for the heartbeats, then one after the other, with increasing
   * backoff; returns when it was acknowledged.
   */
  async callControl(method, body, patienceMs) {
    const giveUpAt = Date.now() + patienceMs;
    const path = `/pistachiohoist/instances/${this.id}`;
    let position = Math.floor(Math.random() * 100);
    let backoffMs = 50;
    while (Date.now() < giveUpAt && !this.isClosed) {
      const daemons = this.listControl();
      const url = this.heartbeatAddress ?? `http://${daemons[position % daemons.length]}${path}`;
      const answer = await sendCall({ method, url, body, timeoutMs: callTimeoutMs });
      const isPlain = method === 'PUT' && this.state === 'ready';
      if (!isPlain) this.record({ event: 'call', id: this.id, method, url, status: answer.status });
      if (answer.status >= 200 && answer.status < 300) {
        this.heartbeatAddress = JSON.parse(answer.text || '{}').heartbeatUri;
        return Date.now();
      }
      this.heartbeatAddress = undefined;
      position += 1;
      await sleep(backoffMs);
      backoffMs = Math.min(maxBackoffMs, backoffMs + 50);
    }
    return undefined;
  }

  async serveRequest(request, response) {
    const { headers, method, url } = request;
    if (url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, { 'x-instance-id': this.id }).end();
      return;
    }
    const attempt = headers['x-attempt-id'] ?? '';
    const expected = headers['x-expected-instance'];
    const refuse = (status, extra) =>
      response.writeHead(status, { 'x-attempt-id': attempt, ...extra }).end();
    if (expected !== undefined && expected !== this.id) {
      refuse(421, { 'x-instance-id': this.id, 'x-not-executed': '1' });
      return;
    }
    if (this.running >= this.slots && this.waiting.length >= maxWaiting) {
      refuse(503, { 'x-not-executed': '1' });
      return;
    }
    if (!(await this.takeSlot(response))) return;
    this.record({ event: 'run', id: this.id, attempt, method, url });
    await Promise.all([request.toArray(), sleep(this.workMs)]).catch(() => undefined);
    this.releaseSlot();
    const body = `answer of ${this.id} to ${attempt}`;
    response.writeHead(200, {
      'x-attempt-id': attempt,
      'x-response-signature': `s.${this.id}.${attempt}`,
      'x-server-load': `${this.running},${this.waiting.length},${this.slots}`,
      'content-length': Buffer.byteLength(body),
      ...(this.state === 'ready' ? {} : { connection: 'close' }),
    });
    response.end(body);
  }

  /** Resolves to false when the connection closes before a slot is free. */
  async takeSlot(response) {
    if (this.running < this.slots) {
      this.running += 1;
      return true;
    }
    return new Promise((resolve) => {
      const grant = () => resolve(true);
      this.waiting.push(grant);
      response.once('close', () => {
        this.waiting = this.waiting.filter((other) => other !== grant);
        resolve(false);
      });
    });
  }

  releaseSlot() {
    const next = this.waiting.shift();
    if (next) next();
    else this.running -= 1;
  }
}
