import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import SystemClock from '../../src/adapters/system/SystemClock.ts';
import TrpcFleetLink from '../../src/adapters/trpc/TrpcFleetLink.ts';
import TrpcPeerDialer from '../../src/adapters/trpc/TrpcPeerDialer.ts';

describe('calls over one link of the fleet', () => {
  const warnings: string[] = [];
  const keepWarning = ({ name }: Error): void => {
    warnings.push(name);
  };

  beforeEach(() => {
    warnings.length = 0;
    process.on('warning', keepWarning);
  });

  afterEach(() => {
    process.off('warning', keepWarning);
  });

  // Guards against a warning of Node.js on standard error when many upstreams announce themselves
  // at once at a control host that doesn't lead.
  it('should be as many at once as there are announcements', async () => {
    const clock = new SystemClock();
    const dialer = new TrpcPeerDialer({ peerKey: 'key', ownHost: 'c1', clock, idleCloseMs: 1000 });
    // Nobody listens there.
    const address = '127.0.0.1:1';
    const link = new TrpcFleetLink(dialer.takeConnection({ host: address, address }), clock);

    const answers = await Promise.all(
      Array.from({ length: 20 }, () => link.exchangeHosts([], clock.now() + 100)),
    );
    // Node.js emits warnings in a later turn.
    await clock.sleepUntil(clock.now() + 50);
    link.close();
    dialer.close();

    expect(answers.every(({ ok }) => !ok)).toBe(true);
    expect(warnings).toEqual([]);
  });
});
