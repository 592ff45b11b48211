import { expect, it } from 'vitest';

import SlotView from '../../src/application/fleet/SlotView.ts';
import { createUpstream } from '../fixtures/createRecords.ts';
import createUpstreamStatements from '../fixtures/createUpstreamStatements.ts';
import FakeClock from '../fixtures/FakeClock.ts';

// Guards against suspecting upstreams that refuse because of their load or of what they state.
it('should see a free slot only at known upstreams below their slots that state nothing', () => {
  const clock = new FakeClock();
  const statements = createUpstreamStatements();
  const records = ['idle', 'busy', 'limited', 'paused', 'leaving'].map((upstream) =>
    createUpstream({ upstream, slots: 4 }),
  );
  const slots = new SlotView({
    clock,
    view: { findUpstream: (name) => records.find(({ upstream }) => upstream === name) },
    loads: {
      readLoad: (_service, upstream) => ({
        ...{ inFlight: upstream === 'busy' ? 4 : 3, reportedLoad: 0, reportedAt: 0 },
      }),
    },
    statements,
    loadHalfLifeMs: 800,
  });
  const [, , limited, paused, leaving] = records;
  if (!limited || !paused || !leaving) throw new Error('createUpstream returned too few records');
  const now = clock.now();
  statements.recordLimit({ ...limited, requestsPerSecond: 100 }, now, now);
  statements.recordPause(paused, now + 1000);
  statements.recordLeaving(leaving);

  const free = [...records.map(({ upstream }) => upstream), 'unknown'].filter((upstream) =>
    slots.hasFreeSlot(upstream),
  );
  expect(free).toEqual(['idle']);
});
