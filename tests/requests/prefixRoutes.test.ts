import { describe, expect, it } from 'vitest';

import PrefixRouteTable from '../../src/application/requests/PrefixRouteTable.ts';
import { anyMethod } from '../../src/domain/presets/presetLimits.ts';
import chooseSplit from '../../src/domain/requests/chooseSplit.ts';
import { createRoute } from '../fixtures/createPreset.ts';

const table = new PrefixRouteTable([
  createRoute({ method: anyMethod, host: 'a.example', path: '/x/*', service: 'short' }),
  createRoute({ method: anyMethod, host: 'a.example', path: '/x/y/*', service: 'long' }),
  createRoute({ method: 'GET', host: 'b.example', path: '/*', service: 'root' }),
  createRoute({ method: anyMethod, path: '/any/*', service: 'anywhere' }),
]);

describe('routes by host and prefix', () => {
  it.each([
    ['/x/1', 'a.example', 'short'],
    ['/x/y/1', 'a.example', 'long'],
    ['/x/y', 'a.example', 'short'],
    ['/x/y/', 'A.example:8080', 'long'],
    ['/x', 'a.example', undefined],
    ['/x/1', 'b.example', 'root'],
    ['/any/1', 'c.example', 'anywhere'],
    ['/x/1', 'c.example', undefined],
    ['/any/1', undefined, 'anywhere'],
  ])(
    'should route the path %s with the host header %s to the service %s',
    (path, host, service) => {
      expect(table.findRoute('GET', path, host)?.service).toBe(service);
    },
  );

  it('should match only the method that a route names', () => {
    expect(table.findRoute('POST', '/x/1', 'b.example')).toBeUndefined();
    expect(table.findRoute('POST', '/x/1', 'a.example')?.service).toBe('short');
  });
});

describe('traffic split of a route', () => {
  const parts = [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 0 },
    { service: 'c', weight: 10 },
  ];

  it.each([
    [0, 'a'],
    [0.89, 'a'],
    [0.9, 'c'],
    [0.999, 'c'],
  ])('should map the random number %s to the service %s', (draw, service) => {
    expect(chooseSplit(parts, draw)).toBe(service);
  });

  it('should choose no service when all weights are 0', () => {
    expect(chooseSplit([{ service: 'a', weight: 0 }], 0)).toBeUndefined();
  });
});
