import { setTimeout as sleep } from 'node:timers/promises';

import sendCall from './sendCall.mjs';

/** A stand-in operator: it sends an order to one daemon after another until it is acknowledged. */
export default class Operator {
  constructor({ record, listControl }) {
    Object.assign(this, { record, listControl });
  }

  async putConfig(config, patienceMs = 20_000) {
    const body = JSON.stringify(config);
    const giveUpAt = Date.now() + patienceMs;
    let position = 0;
    let backoffMs = 50;
    while (Date.now() < giveUpAt) {
      const daemons = this.listControl();
      let url = `http://${daemons[position % daemons.length]}/pistachiohoist/config`;
      let answer = await sendCall({ method: 'PUT', url, body, timeoutMs: 1000 });
      for (let hops = 0; answer.status === 307 && hops < 2; hops += 1) {
        url = answer.headers.location;
        answer = await sendCall({ method: 'PUT', url, body, timeoutMs: 1000 });
      }
      if (answer.status === 200) {
        this.record({ event: 'config acknowledged', version: config.version, url });
        return Date.now();
      }
      position += 1;
      await sleep(backoffMs);
      backoffMs = Math.min(800, backoffMs + 50);
    }
    throw new Error(`configuration ${config.version} was not acknowledged`);
  }
}
