import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import SystemClock from '../../src/adapters/system/SystemClock.ts';
import TrpcFleetLink from '../../src/adapters/trpc/TrpcFleetLink.ts';
import TrpcPeerDialer from '../../src/adapters/trpc/TrpcPeerDialer.ts';
import SilentLog from '../fixtures/SilentLog.ts';

describe('TrpcFleetLink', () => {
  const warnings: string[] = [];
  const recordWarning = ({ name }: Error): void => {
    warnings.push(name);
  };

  beforeEach(() => {
    warnings.length = 0;
    process.on('warning', recordWarning);
  });

  afterEach(() => {
    process.off('warning', recordWarning);
  });

  // A control host that is not the leader forwards the announcements of many upstreams at the same
  // time. Guards against a warning of Node.js on standard error.
  it('should allow 20 concurrent calls without a warning of Node.js', async () => {
    const clock = new SystemClock();
    const log = new SilentLog();
    const options = { peerKey: 'key', ownHost: 'c1', clock, log, idleCloseMs: 1000 };
    const dialer = new TrpcPeerDialer(options);
    // No process listens on this port.
    const address = '127.0.0.1:1';
    const link = new TrpcFleetLink(dialer.takeConnection({ host: address, address }), clock);

    const answers = await Promise.all(
      Array.from({ length: 20 }, () => link.exchangeHosts([], clock.now() + 100)),
    );
    // Node.js emits warnings in a later iteration of the event loop.
    await clock.sleepUntil(clock.now() + 50);
    link.close();
    dialer.close();

    expect(answers.every(({ ok }) => !ok)).toBe(true);
    expect(warnings).toEqual([]);
  });
});
