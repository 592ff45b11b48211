import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import PlatformPresetCodec from '../../platform/PlatformPresetCodec.ts';
import decodeRegistration, { decodeDeregistration } from '../../platform/decodeRegistration.ts';
import { controlCommandSchema } from '../../src/adapters/trpc/controlMessages.ts';

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
    ['a missing version', { version: undefined }, 'version'],
    ['a version that is null', { version: null }, 'version'],
    ['a version of another type', { version: 1 }, 'version'],
    ['a nested version', { version: { name: 'v1' } }, 'version'],
    ['an empty version', { version: '' }, 'version'],
    ['an unknown state', { state: 'asleep' }, 'state'],
    ['an address without a port', { address: '10.0.0.1' }, 'address'],
    ['a fractional process start time', { born: 1.5 }, 'born'],
    ['a negative sequence', { sequence: -1 }, 'sequence'],
    ['a port out of range', { address: '10.0.0.1:65536' }, 'address'],
    ['port 0', { address: '10.0.0.1:0' }, 'address'],
    ['a host name', { address: 'a.example:80' }, 'address'],
    ['too many slots', { slots: 9e15 }, 'slots'],
    ['a warm-up of weeks', { warmupLeft: '9999999s' }, 'warmupLeft'],
    ['a sequence that is too large', { sequence: 9e15 }, 'sequence'],
    ['a start in the far future', { born: 9e15 }, 'born'],
    ['a nested value', { zone: [[[['north']]]] }, 'zone'],
  ])('should refuse %s', (_title, changes, key) => {
    const decoded = decodeRegistration('i-1', JSON.stringify({ ...announcement, ...changes }));

    expect(decoded.ok ? '' : decoded.failure.message).toContain(`key ${key}`);
  });

  // Another writer left such an entry. Guards against control hosts that end or stop on it.
  it.each([
    ['deeply nested lists', `{"service":${'['.repeat(200_000)}${']'.repeat(200_000)}}`],
    ['deeply nested objects', `${'{"a":'.repeat(200_000)}1${'}'.repeat(200_000)}`],
    ['a number too large', '{"service":"kilns","sequence":1e999}'],
  ])('should refuse %s', (_title, text) => {
    const decoded = decodeRegistration('i-1', text);

    expect(decoded.ok ? '' : decoded.failure.kind).toBe('announcement_invalid');
    expect(decoded.ok ? 0 : decoded.failure.message.length).toBeLessThan(300);
  });

  it.each(['', 'a/b', 'a'.repeat(129), 'a b', '\u0000'])(
    'should refuse the name "%s"',
    (upstream) => {
      const decoded = decodeRegistration(upstream, JSON.stringify(announcement));

      expect(decoded.ok ? '' : decoded.failure.kind).toBe('announcement_invalid');
    },
  );

  // What is accepted is committed to the log. Guards against an entry that control hosts can commit
  // but not read again, so that they fail at each start.
  it('should accept only announcements that can be read again from messages', () => {
    const numbers = fc.oneof(fc.integer(), fc.double(), fc.maxSafeInteger());
    const values = fc.oneof(numbers, fc.string(), fc.jsonValue());
    const usual = fc.integer({ min: 1, max: 20 });
    const changes = fc.record(
      {
        slots: fc.oneof({ weight: 3, arbitrary: usual }, values),
        sequence: fc.oneof({ weight: 3, arbitrary: usual }, values),
        born: fc.oneof({ weight: 3, arbitrary: usual }, values),
        warmupLeft: fc.oneof(
          fc.oneof(usual, numbers).map((number) => `${number}ms`),
          values,
        ),
        zone: fc.oneof(fc.string({ minLength: 1 }), values),
        service: fc.oneof(fc.string({ minLength: 1 }), values),
      },
      { requiredKeys: [] },
    );
    const names = fc.oneof(
      { weight: 3, arbitrary: fc.stringMatching(/^[a-z0-9-]{1,12}$/) },
      fc.string(),
    );
    let accepted = 0;
    fc.assert(
      fc.property(names, changes, (upstream, fields) => {
        const decoded = decodeRegistration(
          upstream,
          JSON.stringify({ ...announcement, ...fields }),
        );
        if (!decoded.ok) return;
        accepted += 1;
        const command = { kind: 'register_upstream', registration: decoded.value, keeper: 'a:1' };
        const reread: unknown = JSON.parse(JSON.stringify(command));
        expect(controlCommandSchema.parse(reread)).toEqual(command);
      }),
      { seed: 17, numRuns: 3000 },
    );
    expect(accepted).toBeGreaterThan(100);
  });

  it.each(['', '{', 'null', '[]'])('should refuse the body "%s"', (text) => {
    expect(decodeRegistration('i-1', text).ok).toBe(false);
  });

  // Guards against another writer that takes live upstreams out of use: whatever lacks a field, or
  // has one of another type, is refused.
  it('should refuse an announcement without any one field but the start time', () => {
    const optional = ['born'];
    const refused = Object.keys(announcement).filter(
      (key) => !decodeRegistration('i-1', JSON.stringify({ ...announcement, [key]: undefined })).ok,
    );

    expect(refused).toEqual(Object.keys(announcement).filter((key) => !optional.includes(key)));
  });

  it.each([
    ['', undefined],
    ['{}', undefined],
    ['{"born":5}', 5],
  ])('should decode the deregistration body "%s"', (text, bornAt) => {
    expect(decodeDeregistration('i-1', text)).toEqual({ ok: true, value: bornAt });
  });

  // Guards against a message of another writer that removes a live upstream.
  it.each([
    ['i-1', '{"born":"x"}'],
    ['i-1', '{"born":null}'],
    ['i-1', '{"born":1.5}'],
    ['i-1', '{'],
    ['i-1', '[]'],
    ['i-1', 'null'],
    ['a b', ''],
    ['', ''],
  ])('should refuse a deregistration of "%s" with the body "%s"', (upstream, text) => {
    const decoded = decodeDeregistration(upstream, text);

    expect(decoded.ok ? '' : decoded.failure.kind).toBe('announcement_invalid');
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

  const writeTeams = (...teams: object[]): string =>
    JSON.stringify({
      ...document,
      tenants: teams.map((team) => ({ name: 'depots', ...team })),
    });

  // Guards against downloads that are lost although they may be retried, and against retries of
  // operations of other kinds.
  it.each([
    ['safe', 'allowed'],
    ['download', 'allowed'],
    ['unsafe', 'never'],
    ['Download', 'never'],
    ['', 'never'],
  ])('should decode the kind "%s" to the repeat rule "%s"', (kind, repeat) => {
    const decoded = codec.decodePreset(JSON.stringify(changeRoute({ kind })));

    expect(decoded.ok && decoded.value.preset.routes[1]?.repeat).toBe(repeat);
  });

  // Guards against log lines and answers with keys: Node.js quotes the text around a syntax error.
  it('should not quote a document that is not valid JSON', () => {
    const decoded = codec.decodePreset('{"tenants": [{"name": "a", "apiKeys": [key-1]}]}');

    expect(decoded.ok ? '' : decoded.failure.message).toBe(
      "configuration: not valid JSON: Unexpected token 'k'",
    );
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
    ['two teams with one key', writeTeams({ apiKeys: ['k1'] }, { apiKeys: ['k2', 'k1'] })],
    ['a negative rate of a team', writeTeams({ ratePerS: -1 })],
    ['a burst of another type', writeTeams({ burst: '5' })],
    ['keys that are no list', writeTeams({ apiKeys: 'k1' })],
    ['a team without a name', writeTeams({ name: undefined })],
  ])('should refuse %s', (_title, text) => {
    const decoded = codec.decodePreset(text);

    expect(decoded.ok ? '' : decoded.failure.kind).toBe('preset_invalid');
  });

  it.each([
    [{}, { name: 'depots', keys: [], requestsPerSecond: undefined, burst: 0 }],
    [
      { ratePerS: 0, burst: 0 },
      { requestsPerSecond: undefined, burst: 0 },
    ],
    [
      { ratePerS: 2.5, burst: 4, priority: 0 },
      { requestsPerSecond: 2.5, burst: 4, priority: 0 },
    ],
    [{ apiKeys: ['k1', 'k1'] }, { keys: ['k1', 'k1'] }],
  ])('should decode the team %j', (team, expected) => {
    const decoded = codec.decodePreset(writeTeams(team));

    expect(decoded.ok && decoded.value.preset.teams?.[0]).toMatchObject(expected);
  });

  // Guards against downloads that fail with the first upstream, and operations that run twice.
  it.each([
    ['safe', 'allowed'],
    ['download', 'allowed'],
    ['unsafe', 'never'],
    ['anything else', 'never'],
  ])('should decode a route of kind %s to repeat %s', (kind, repeat) => {
    const decoded = codec.decodePreset(JSON.stringify(changeRoute({ kind })));

    expect(decoded.ok && decoded.value.preset.routes[1]?.repeat).toBe(repeat);
  });

  it('should decode which routes are public', () => {
    const decoded = codec.decodePreset(JSON.stringify(changeRoute({ public: true })));

    expect(decoded.ok && decoded.value.preset.routes.map(({ isPublic }) => isPublic)).toEqual([
      false,
      true,
    ]);
  });

  // Guards against a secret in the answer to an operator and in the log.
  it('should not print a key that two teams hold', () => {
    const decoded = codec.decodePreset(writeTeams({ apiKeys: ['k1'] }, { apiKeys: ['k1'] }));

    expect(decoded.ok ? '' : decoded.failure.message).toContain('tenants.1.apiKeys');
    expect(decoded.ok ? '' : decoded.failure.message).not.toContain('k1');
  });

  // Guards against a team whose every request fails, because upstreams can't receive its name in a
  // header.
  it.each([
    ['a control character', { name: 'a\nb' }, 'tenants.0.name'],
    ['a character above U+00FF', { name: 'd\u0100' }, 'tenants.0.name'],
    ['an empty key', { apiKeys: ['k1', ''] }, 'tenants.0.apiKeys.1'],
  ])('should refuse a team with %s', (_title, team, key) => {
    const decoded = codec.decodePreset(writeTeams(team));

    expect(decoded.ok ? '' : decoded.failure.kind).toBe('preset_invalid');
    expect(decoded.ok ? '' : decoded.failure.message).toContain(`key ${key}:`);
    expect(decoded.ok ? '' : decoded.failure.message).not.toContain('k1');
  });

  it('should accept names of teams with spaces and letters up to U+00FF', () => {
    expect(codec.decodePreset(writeTeams({ name: 'Lager S\u00fcd' })).ok).toBe(true);
  });

  // Guards against upstreams that fill the memory of a host with bodies that never end.
  it('should limit the size of answers', () => {
    const decoded = codec.decodePreset(JSON.stringify(document));

    expect(decoded.ok && decoded.value.preset.routes[0]?.maxAnswerBytes).toBe(8_388_608);
  });
});
