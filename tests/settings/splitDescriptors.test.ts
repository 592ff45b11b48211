import { expect, it } from 'vitest';

import {
  splitControlDescriptors,
  splitEntryDescriptors,
} from '../../src/domain/settings/splitDescriptors.ts';

// Guards against listeners that together may hold every descriptor of the process.
it.each([128, 300, 512, 1024, 65_536])(
  'should leave descriptors for files and outgoing connections of a process that has %i',
  (maxDescriptors) => {
    const { callers, platform, metrics } = splitEntryDescriptors(maxDescriptors);
    const control = splitControlDescriptors(maxDescriptors);
    const reserved = Math.min(200, maxDescriptors / 2);

    expect(callers + platform + metrics).toBeLessThan(maxDescriptors - reserved);
    expect(callers).toBeGreaterThan(platform + metrics);
    expect(control.operators + control.peers + control.metrics).toBeLessThan(
      maxDescriptors - reserved,
    );
    expect(control.unprovenPeers).toBeLessThan(control.peers);
  },
);
