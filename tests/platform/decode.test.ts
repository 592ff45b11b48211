import { describe, expect, it } from 'vitest';

import PlatformPresetCodec from '../../platform/PlatformPresetCodec.ts';
import decodeRegistration, { decodeDeregistration } from '../../platform/decodeRegistration.ts';

const announcement = {
  service: 'kilns',
  address: '10.0.0.1:8080',
  zone: 'north',
  version: 'v1',
  slots: 4,
  state: 'ready',
  warmupLeft: '1500ms',
  sequence: 4,
  born: 1_700_000_000_000,
};

describe('decoding of platform announcements', () => {
  it('should translate a valid announcement to a registration', () => {
    const decoded = decodeRegistration('i-1', JSON.stringify(announcement));

    expect(decoded).toEqual({
      ok: true,
      value: {
        upstream: 'i-1',
        service: 'kilns',
        address: '10.0.0.1:8080',
        failureDomain: 'north',
        slots: 4,
        state: 'serving',
        bornAt: 1_700_000_000_000,
        sequence: 4,
        warmMs: 1500,
      },
    });
  });

  it.each([
    ['a missing service', { service: undefined }, 'service'],
    ['a service of another type', { service: 7 }, 'service'],
    ['an unknown state', { state: 'asleep' }, 'state'],
    ['an address without a port', { address: '10.0.0.1' }, 'address'],
    ['a fractional process start time', { born: 1.5 }, 'born'],
    ['a negative sequence', { sequence: -1 }, 'sequence'],
  ])('should refuse %s', (_title, changes, key) => {
    const decoded = decodeRegistration('i-1', JSON.stringify({ ...announcement, ...changes }));

    expect(decoded.ok ? '' : decoded.failure.message).toContain(`key ${key}`);
  });

  it.each(['', '{', 'null', '[]'])('should refuse the body "%s"', (text) => {
    expect(decodeRegistration('i-1', text).ok).toBe(false);
  });

  it.each([
    ['', undefined],
    ['{"born":5}', 5],
    ['{"born":"x"}', undefined],
    ['{', undefined],
  ])('should decode the deregistration body "%s"', (text, bornAt) => {
    expect(decodeDeregistration(text)).toBe(bornAt);
  });
});

const document = {
  version: 7,
  routes: [
    {
      name: 'r-1',
      host: 'a.example',
      pathPrefix: '/look/',
      kind: 'safe',
      timeout: '1500ms',
      objective: '1s',
      priority: 2,
      trafficSplit: [
        { service: 'history', weight: 90 },
        { service: 'kilns', weight: 10 },
      ],
      maxAttempts: 2,
    },
    {
      name: 'r-2',
      host: 'b.example',
      pathPrefix: '/book/',
      kind: 'unsafe',
      timeout: '2s',
      service: 'kilns',
      maxAttempts: 2,
    },
  ],
  services: [{ name: 'history', healthPath: '/health' }, { name: 'kilns' }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 67_108_864,
    headerTimeout: '3000ms',
    idleTimeout: '15s',
  },
};
type Document = typeof document;

describe('decoding of platform configurations', () => {
  const codec = new PlatformPresetCodec({ retryShare: 0.2 });

  it('should decode to a numbered preset that keeps the document unchanged', () => {
    const text = JSON.stringify(document);
    const decoded = codec.decodePreset(text);

    if (!decoded.ok) throw new Error(decoded.failure.message);
    const { numbered, preset } = decoded.value;
    expect(numbered).toEqual({ number: 7, document: text });
    expect(preset.routes).toMatchObject([
      { host: 'a.example', path: '/look/*', repeat: 'allowed', deadlineMs: 1500, maxAttempts: 2 },
      { path: '/book/*', repeat: 'never', key: 'none', service: 'kilns', split: undefined },
    ]);
    expect(preset.limits).toEqual({
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headersTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    });
  });

  const changeRoute = (changes: object): Document => ({
    ...document,
    routes: document.routes.map((route, index) => (index ? { ...route, ...changes } : route)),
  });

  it.each([
    ['an unknown service', JSON.stringify(changeRoute({ service: 'none' }))],
    ['a timeout of zero', JSON.stringify(changeRoute({ timeout: '0ms' }))],
    ['a missing timeout', JSON.stringify(changeRoute({ timeout: undefined }))],
    ['a timeout over ten minutes', JSON.stringify(changeRoute({ timeout: '601s' }))],
    ['a path prefix without a leading slash', JSON.stringify(changeRoute({ pathPrefix: 'book/' }))],
    ['a truncated document', JSON.stringify(document).slice(0, -20)],
    ['a missing version', JSON.stringify({ ...document, version: undefined })],
    ['an array in place of an object', '[]'],
  ])('should refuse %s', (_title, text) => {
    const decoded = codec.decodePreset(text);

    expect(decoded.ok ? '' : decoded.failure.kind).toBe('preset_invalid');
  });
});
