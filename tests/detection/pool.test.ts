import { expect, it } from 'vitest';

import { checkUpstreamRecord } from '../../src/adapters/trpc/gossipMessages.ts';
import EjectingUpstreamPool from '../../src/application/detection/EjectingUpstreamPool.ts';
import EjectionDirectory from '../../src/domain/detection/EjectionDirectory.ts';
import UpstreamDirectory from '../../src/domain/membership/UpstreamDirectory.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import { createState } from '../fixtures/FakeFleet.ts';
import { createUpstream } from '../fixtures/createRecords.ts';

// Guards against a partitioned host that receives no renewals and refuses requests when the leases
// expire, although the upstreams are healthy.
it('should keep using upstreams whose leases expired while the host was partitioned', async () => {
  const clock = new FakeClock();
  const upstreams = new UpstreamDirectory({ checkRecord: checkUpstreamRecord });
  const pool = new EjectingUpstreamPool({
    clock,
    activePreset: { state: createState(1), routeTable: undefined },
    upstreams,
    ejections: new EjectionDirectory({ checkRecord: () => undefined }),
  });
  const leaseDeadline = clock.now() + 5000;
  upstreams.putRecord(createUpstream({ leaseDeadline }), clock.now());
  upstreams.putRecord(createUpstream({ upstream: 'b', state: 'leaving' }), clock.now());
  upstreams.setExpiryLimit(clock.now() + 3000);

  await clock.advanceBy(60_000);

  expect(pool.listUsable('history').map(({ record }) => record.upstream)).toEqual(['a']);
  upstreams.setExpiryLimit(clock.now() + 3000);
  expect(pool.listUsable('history')).toEqual([]);
});
