import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import sendCall from './sendCall.mjs';

/** Stand-in clients, which send requests to the entry machines at a steady rate. */
export default class Clients {
  sent = [];

  open = new Set();

  isStopped = false;

  constructor({ record, addresses, perSecond, routes, budgetMs = 6000 }) {
    Object.assign(this, { record, addresses, perSecond, routes, budgetMs });
    this.agent = new Agent({ keepAlive: true });
    this.task = this.run();
  }

  async run() {
    let count = 0;
    while (!this.isStopped) {
      const route = this.routes[count % this.routes.length];
      const address = this.addresses[count % this.addresses.length];
      count += 1;
      const call = this.sendOne(route, address, count);
      this.open.add(call);
      call.then(() => this.open.delete(call));
      await sleep(1000 / this.perSecond);
    }
    await Promise.all(this.open);
    this.agent.destroy();
  }

  async sendOne({ method, path }, address, count) {
    const attempt = `a${String(count).padStart(15, '0')}`;
    const sentAt = Date.now();
    const answer = await sendCall({
      ...{ method, url: `http://${address}${path}${count}`, agent: this.agent },
      ...{ body: method === 'POST' ? 'order' : '', timeoutMs: this.budgetMs },
      headers: {
        host: 'a.example',
        'x-attempt-id': attempt,
        'x-time-budget-ms': String(this.budgetMs),
      },
    });
    const { status } = answer;
    this.sent.push({ attempt, sentAt, status });
    this.record({ event: 'answer', attempt, sentAt, address, method, status });
  }

  async stop() {
    this.isStopped = true;
    await this.task;
  }
}
