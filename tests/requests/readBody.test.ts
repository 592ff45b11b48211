import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Readable } from 'node:stream';

import { request } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import readBody from '../../src/adapters/http/readBody.ts';
import FakeClock from '../fixtures/FakeClock.ts';

class CountingClock extends FakeClock {
  sleepCount = 0;

  override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    this.sleepCount += 1;
    return super.sleepUntil(deadline, signal);
  }
}

describe('body of a request', () => {
  const clock = new CountingClock();
  const server = createServer((message, response) => {
    readBody(message, { maxBytes: 10, deadline: clock.now() + 1000, clock })
      .then((body) => response.end(body.ok ? body.value : body.failure.kind))
      .catch(() => response.destroy());
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  // Guards against the cost of a timer for every request, and against leaving a chunked body unread
  // because the request has no content length.
  it('should read the body and set a timer only for a request that may have one', async () => {
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
    const sendBody = async (body?: string | Readable): Promise<[string, number]> => {
      const before = clock.sleepCount;
      const answer = await request(url, body ? { method: 'POST', body } : {});
      return [await answer.body.text(), clock.sleepCount - before];
    };

    expect(await sendBody()).toEqual(['', 0]);
    expect(await sendBody('1234567')).toEqual(['1234567', 1]);
    expect(await sendBody(Readable.from(['chunk']))).toEqual(['chunk', 1]);
    expect(await sendBody()).toEqual(['', 0]);
  });
});
