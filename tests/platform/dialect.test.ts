import { describe, expect, it } from 'vitest';

import type { Header } from '../../src/application/requests/RequestDialect.ts';
import PlatformDialect from '../../platform/PlatformDialect.ts';

const dialect = new PlatformDialect();
const signedHeaders = [
  ['x-attempt-id', 'r1'],
  ['x-response-signature', 'signed'],
] as const;

const receivedAt = 1_800_000_000_000;

function readSignals(status: number, headers: readonly Header[]) {
  return dialect.readAnswerSignals({ status, headers, body: new Uint8Array() }, receivedAt);
}

describe('headers of the platform dialect', () => {
  it.each([
    ['3000', 4000],
    ['0.5', 1000.5],
    [undefined, undefined],
  ])('should read a time budget of %s ms at time 1000 as the deadline %s', (text, deadline) => {
    const headers = text === undefined ? [] : [['x-time-budget-ms', text] as const];

    expect(dialect.readDeadline(headers, 1000)).toEqual({ ok: true, value: deadline });
  });

  it.each(['-5', 'soon', '1e3'])('should refuse a time budget of %s', (text) => {
    const read = dialect.readDeadline([['x-time-budget-ms', text]], 1000);

    expect(read.ok ? '' : read.failure.kind).toBe('deadline_invalid');
  });

  // Guards against an upstream that keeps working after the caller has given up.
  it('should send the remaining time and the intended upstream', () => {
    const headers = dialect.createUpstreamHeaders({
      requestId: 'r1',
      upstream: 'i-1',
      team: undefined,
      deadline: 2500.7,
      now: 1000,
    });

    expect(headers).toEqual([
      ['x-time-budget-ms', '1500'],
      ['x-expected-instance', 'i-1'],
    ]);
  });

  // Guards against upstreams that do not know for which team they work.
  it('should send the name of the team', () => {
    const head = { requestId: 'r1', upstream: undefined, deadline: 2000, now: 1000 };

    expect(dialect.createUpstreamHeaders({ ...head, team: 'depots' })).toContainEqual([
      'x-tenant-name',
      'depots',
    ]);
  });

  it.each([
    { keys: ['k1'], found: 'k1' },
    { keys: ['k1', 'k1'], found: 'k1' },
    { keys: ['k1', 'k2'], found: undefined },
    { keys: [], found: undefined },
  ])('should find the key $found among $keys', ({ keys, found }) => {
    const headers = keys.map((key) => ['x-api-key', key] as const);

    expect(dialect.findTeamKey(headers)).toBe(found);
  });

  it.each([
    ['a signed answer to the request', 200, signedHeaders, true],
    ['an answer to another request', 200, [['x-attempt-id', 'r0'], signedHeaders[1]], false],
    ['a successful answer without a signature', 200, [signedHeaders[0]], false],
    ['a successful answer without the request id', 200, [signedHeaders[1]], false],
    ['a body with a content coding', 200, [...signedHeaders, ['content-encoding', 'gzip']], false],
    ['a failure without the request id', 500, [], true],
    ['a refusal', 503, [['x-not-executed', '1'], signedHeaders[0]], true],
    ['a refusal without the request id', 503, [['x-not-executed', '1']], false],
    [
      'a refusal of another request',
      429,
      [
        ['x-not-executed', '1'],
        ['x-attempt-id', 'r0'],
      ],
      false,
    ],
    ['a 503 that does not say not run', 503, [signedHeaders[0]], false],
    ['a 408 that does not say not run', 408, [signedHeaders[0]], false],
    ['a misdirected request', 421, [signedHeaders[0]], true],
    ['a misdirected request without the request id', 421, [], false],
    ['a failure for another request', 500, [['x-attempt-id', 'r0']], false],
  ] as const)(
    'should check whether %s answers the request',
    (_title, status, headers, isAnswer) => {
      expect(dialect.isAnswerTo('r1', { status, headers })).toBe(isAnswer);
    },
  );

  // Guards against running a request twice: only an answer that says that the request was not
  // executed allows a retry at another upstream.
  it.each([
    ['503 with the header', 503, [['x-not-executed', '1']], true, false],
    ['421', 421, [], true, true],
    ['503 without the header', 503, [], false, false],
    ['500', 500, [], false, false],
  ] as const)(
    'should read from %s whether the request ran and was misdirected',
    (_title, status, headers, hasNotRun, isMisdirected) => {
      const signals = readSignals(status, headers);

      expect([signals.hasNotRun, signals.isMisdirected]).toEqual([hasNotRun, isMisdirected]);
    },
  );

  it.each([
    ['3,2,4', 5],
    ['garbage', undefined],
    ['3', undefined],
  ])('should read the load %s as %s', (text, load) => {
    const headers = [['x-server-load', text]] as const;
    const signals = readSignals(200, headers);

    expect(signals.reportedLoad).toBe(load);
  });

  it.each([
    ['7.7', { kind: 'stated', value: 7.7 }],
    ['0', { kind: 'stated', value: 0 }],
    ['4.900000000000000355', { kind: 'stated', value: 4.9 }],
    ['.5', { kind: 'stated', value: 0.5 }],
    ['7.7 requests', { kind: 'invalid', text: '7.7 requests' }],
    [undefined, { kind: 'absent' }],
    ['-3', { kind: 'invalid', text: '-3' }],
    ['1e9', { kind: 'invalid', text: '1e9' }],
    ['9'.repeat(400), { kind: 'invalid', text: '9'.repeat(80) }],
    ['many', { kind: 'invalid', text: 'many' }],
    ['', { kind: 'invalid', text: '' }],
  ])('should read the limit "%s" of an upstream', (text, expected) => {
    const headers = text === undefined ? [] : [['server-limit', text] as const];
    const signals = readSignals(200, headers);

    expect(signals.statements?.limit).toEqual(expected);
  });

  it('should accept a repeated limit only if its values are equal', () => {
    const readLimit = (...values: readonly string[]) =>
      readSignals(
        200,
        values.map((value) => ['server-limit', value] as const),
      ).statements?.limit;

    expect(readLimit('3', '3')).toEqual({ kind: 'stated', value: 3 });
    expect(readLimit('3', '5')).toEqual({ kind: 'invalid', text: '3, 5' });
  });

  it.each([
    ['1.5', { kind: 'stated', value: receivedAt + 1500 }],
    ['0', { kind: 'stated', value: receivedAt }],
    ['Fri, 15 Jan 2027 08:00:03 GMT', { kind: 'stated', value: receivedAt + 3000 }],
    ['Fri, 15 Jan 2027 07:59:57 GMT', { kind: 'invalid', text: 'Fri, 15 Jan 2027 07:59:57 GMT' }],
    ['-1', { kind: 'invalid', text: '-1' }],
    ['soon', { kind: 'invalid', text: 'soon' }],
    ['1e9', { kind: 'invalid', text: '1e9' }],
    ['86400', { kind: 'invalid', text: '86400' }],
    ['9'.repeat(400), { kind: 'invalid', text: '9'.repeat(80) }],
    [undefined, { kind: 'absent' }],
  ])('should read the pause "%s" of an upstream', (text, expected) => {
    const refusal = [['x-not-executed', '1'] as const];
    const headers = text === undefined ? refusal : [...refusal, ['retry-after', text] as const];

    expect(readSignals(503, headers).statements?.pausedUntil).toEqual(expected);
  });

  // Clocks of upstreams may be wrong by seconds or years.
  it('should read a pause that ends at a date relative to the date of the answer', () => {
    const { statements } = readSignals(503, [
      ['x-not-executed', '1'],
      ['date', 'Sat, 01 Jan 2000 00:00:00 GMT'],
      ['retry-after', 'Sat, 01 Jan 2000 00:00:02 GMT'],
    ]);

    expect(statements?.pausedUntil).toEqual({ kind: 'stated', value: receivedAt + 2000 });
  });

  it.each([
    ['another status', 429, [['x-not-executed', '1']]],
    ['an answer to a request that may have run', 503, []],
  ] as const)('should read no pause from %s', (_title, status, headers) => {
    const { statements } = readSignals(status, [...headers, ['retry-after', '5']]);

    expect(statements?.pausedUntil).toEqual({ kind: 'absent' });
  });

  it.each([
    [['1'], { kind: 'stated', value: true }],
    [['1', '1'], { kind: 'stated', value: true }],
    [[], { kind: 'absent' }],
    [['0'], { kind: 'invalid', text: '0' }],
    [['1', '0'], { kind: 'invalid', text: '1, 0' }],
    [['yes'], { kind: 'invalid', text: 'yes' }],
  ])('should read from the values %j whether an upstream is leaving', (values, expected) => {
    const headers = values.map((value) => ['server-leaving', value] as const);

    expect(readSignals(200, headers).statements?.leaving).toEqual(expected);
  });

  // Guards against a caller that can't tell to which of its attempts a refusal belongs.
  it('should repeat the id of the attempt in answers of the fleet itself only', () => {
    const answer = {
      status: 503,
      headers: [],
      body: new Uint8Array(),
      outcome: 'not-run',
    } as const;
    const createHeaders = (errorKind: 'host_overloaded' | undefined) =>
      dialect.createCallerHeaders({ ...answer, errorKind }, 0, [['x-attempt-id', 'r1']]);

    expect(createHeaders('host_overloaded')).toEqual([['x-attempt-id', 'r1']]);
    expect(createHeaders(undefined)).toEqual([]);
  });
});
