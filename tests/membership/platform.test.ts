import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { fetch } from 'undici';

import PlatformFrontEnd from '../../src/adapters/http/PlatformFrontEnd.ts';
import { checkUpstreamRecord } from '../../src/adapters/trpc/gossipMessages.ts';
import AnnouncementService from '../../src/application/membership/AnnouncementService.ts';
import type { HostStateName } from '../../src/domain/membership/HostRecord.ts';
import UpstreamDirectory from '../../src/domain/membership/UpstreamDirectory.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const body = {
  service: 'history',
  upstream: 'a',
  address: '127.0.0.1:9000',
  failure_domain: 'north',
  slots: 4,
  incarnation: 1,
  sequence: 1,
  state: 'serving',
  lease_ms: 5000,
};

describe('PlatformFrontEnd', () => {
  const clock = new FakeClock();
  let frontEnd: PlatformFrontEnd;
  let state: HostStateName = 'starting';

  beforeEach(async () => {
    const upstreams = new UpstreamDirectory({ checkRecord: checkUpstreamRecord });
    frontEnd = new PlatformFrontEnd({
      clock,
      log: new SilentLog(),
      metrics: { renderMetrics: async () => 'hosts 3\n' },
      readState: () => state,
      announcements: new AnnouncementService({ clock, upstreams, exchangeNow: () => undefined }),
    });
    await frontEnd.openListener({ ip: '127.0.0.1', port: 0 });
  });

  afterEach(() => frontEnd.closeListener());

  const sendRequest = async (path: string, content?: string) => {
    const url = `http://127.0.0.1:${frontEnd.address.port}${path}`;
    const answer = await fetch(url, content === undefined ? {} : { method: 'POST', body: content });
    return { status: answer.status, text: await answer.text() };
  };
  const announce = (changes: object) =>
    sendRequest('/announce', JSON.stringify({ ...body, ...changes }));

  it('should report readiness separately from health', async () => {
    const statuses: number[] = [];
    // The requests run one after another, because all of them read the state of the same host.
    const states: readonly HostStateName[] = ['starting', 'ready', 'stopping'];
    for (const next of states) {
      state = next;
      statuses.push((await sendRequest('/ready')).status, (await sendRequest('/health')).status);
    }

    expect(statuses).toEqual([503, 200, 200, 200, 503, 200]);
    expect(await sendRequest('/metrics')).toEqual({ status: 200, text: 'hosts 3\n' });
    expect((await sendRequest('/announce')).status).toBe(404);
  });

  it('should return the lease deadline and refuse an older sequence', async () => {
    const accepted = await announce({ sequence: 2 });

    expect(JSON.parse(accepted.text)).toEqual({ lease_deadline: clock.now() + 5000 });
    const stale = await announce({ sequence: 1 });
    expect(stale.status).toBe(409);
    expect(JSON.parse(stale.text).error).toBe('announcement_stale');
  });

  // Guards against errors that do not name the invalid field.
  it.each([
    ['service', 'No Name', 'lower-case letters'],
    ['address', 'upstream.example:80', 'an IP address and a port'],
    ['address', '127.0.0.1:0', 'a port above 0'],
    ['failure_domain', '', 'lower-case letters'],
    ['slots', 0, 'a whole number from 1 to 10000'],
    ['incarnation', -1, 'a whole number from 0'],
    ['sequence', 1.5, 'a whole number from 0'],
    ['state', 'gone', 'one of starting, serving, leaving'],
    ['lease_ms', 999, 'a whole number from 1000 to 60000'],
    ['lease_ms', 60_001, 'a whole number from 1000 to 60000'],
    ['lease_ms', undefined, 'a whole number from 1000 to 60000'],
    ['zone', 'x', 'no such field is allowed'],
  ])('should refuse %s %j and name what is allowed', async (field, value, allowed) => {
    const answer = await announce({ [field]: value });
    const { error, message } = JSON.parse(answer.text);

    expect(answer.status).toBe(400);
    expect(error).toBe('announcement_invalid');
    expect(message).toContain(`field ${field}: value ${JSON.stringify(value) ?? 'missing'}:`);
    expect(message).toContain(allowed);
  });

  // Guards against bodies that exhaust memory or make the parser fail.
  it('should refuse bodies that are not a JSON object or are too large', async () => {
    const tooLarge = { pad: 'x'.repeat(5000) };

    expect(await sendRequest('/announce', '{"service":')).toMatchObject({ status: 400 });
    expect(await sendRequest('/announce', 'null')).toMatchObject({ status: 400 });
    expect((await announce({ slots: 0, sequence: 'x' })).text).toMatch(/slots.*sequence/);
    expect(await announce(tooLarge)).toMatchObject({ status: 413 });
  });
});
