import { describe, expect, it } from 'vitest';

import checkPreset from '../../src/domain/presets/checkPreset.ts';
import type Preset from '../../src/domain/presets/Preset.ts';
import createPreset, { createRoute, createService } from '../fixtures/createPreset.ts';

function getMessage(preset: Preset, name = 'ordinary'): string {
  const checked = checkPreset(name, preset);
  return checked.ok ? 'accepted' : `${checked.failure.kind} ${checked.failure.message}`;
}

describe('checkPreset', () => {
  it('should accept a valid preset', () => {
    expect(getMessage(createPreset())).toBe('accepted');
  });

  // Guards against a preset that hosts cannot satisfy or whose route table they cannot build. Each
  // error must name the key, the value and what is allowed.
  it.each<[string, Preset, string]>([
    [
      'a floor above the number of upstreams',
      createPreset({ services: { history: createService({ upstreams: 4, floor: 5 }) } }),
      'key services.history.floor: value 5: expected a whole number from 0 to 4',
    ],
    [
      'a route to an unknown service',
      createPreset({ routes: [createRoute({ service: 'kilns' })] }),
      'key routes.0.service: value "kilns": expected one of the services history',
    ],
    [
      'two routes that match the same requests',
      createPreset({ routes: [createRoute(), createRoute({ path: '/history/:id' })] }),
      'key routes.1: value "GET /history/:id": expected another method or path than routes.0',
    ],
    [
      'a value out of range',
      createPreset({ routes: [createRoute({ deadlineMs: 0 })] }),
      'key routes.0.deadline_ms: value 0: expected a whole number from 1 to 600000',
    ],
    [
      'a fraction where a whole number is needed',
      createPreset({ fleet: { entryHosts: 1.5 } }),
      'key fleet.entry_hosts: value 1.5: expected a whole number from 1 to 10000',
    ],
    [
      'a value that is not a number',
      createPreset({ services: { history: createService({ retryShare: Number.NaN }) } }),
      'key services.history.retry_share: value null: expected a number from 0 to 1',
    ],
    [
      'a path that the router refuses',
      createPreset({ routes: [createRoute({ path: '/history/*/old' })] }),
      'key routes.0.path: value "/history/*/old": expected a path that begins with /',
    ],
  ])('should refuse %s', (_what, preset, message) => {
    expect(getMessage(preset)).toContain(`preset_invalid preset "ordinary": ${message}`);
  });

  it('should refuse an invalid preset name', () => {
    expect(getMessage(createPreset(), 'Peak day')).toContain('key name: value "Peak day"');
  });

  // Guards against a check that compares each route with every other, which takes quadratic time.
  it('should accept a preset of 5,000 routes, the expected future size', () => {
    const routes = Array.from({ length: 5000 }, (_, index) => createRoute({ path: `/r${index}` }));

    expect(getMessage(createPreset({ routes }))).toBe('accepted');
  });
});
