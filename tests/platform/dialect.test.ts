import { describe, expect, it } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';

const dialect = new PlatformDialect();
const signedHeaders = [
  ['x-attempt-id', 'r1'],
  ['x-response-signature', 'signed'],
] as const;

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
      deadline: 2500.7,
      now: 1000,
    });

    expect(headers).toEqual([
      ['x-time-budget-ms', '1500'],
      ['x-expected-instance', 'i-1'],
    ]);
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
      const signals = dialect.readAnswerSignals({ status, headers, body: new Uint8Array() });

      expect([signals.hasNotRun, signals.isMisdirected]).toEqual([hasNotRun, isMisdirected]);
    },
  );

  it.each([
    ['3,2,4', 5],
    ['garbage', undefined],
    ['3', undefined],
  ])('should read the load %s as %s', (text, load) => {
    const headers = [['x-server-load', text]] as const;
    const signals = dialect.readAnswerSignals({ status: 200, headers, body: new Uint8Array() });

    expect(signals.reportedLoad).toBe(load);
  });

  it.each([
    ['7.7', { kind: 'limited', requestsPerSecond: 7.7 }],
    ['0', { kind: 'limited', requestsPerSecond: 0 }],
    ['4.900000000000000355', { kind: 'limited', requestsPerSecond: 4.9 }],
    ['.5', { kind: 'limited', requestsPerSecond: 0.5 }],
    ['7.7 requests', { kind: 'invalid', text: '7.7 requests' }],
    [undefined, { kind: 'unlimited' }],
    ['-3', { kind: 'invalid', text: '-3' }],
    ['1e9', { kind: 'invalid', text: '1e9' }],
    ['9'.repeat(400), { kind: 'invalid', text: '9'.repeat(80) }],
    ['many', { kind: 'invalid', text: 'many' }],
    ['', { kind: 'invalid', text: '' }],
  ])('should read the limit "%s" of an upstream', (text, expected) => {
    const headers = text === undefined ? [] : [['server-limit', text] as const];
    const signals = dialect.readAnswerSignals({ status: 200, headers, body: new Uint8Array() });

    expect(signals.limitStatement).toEqual(expected);
  });

  it('should accept a repeated limit only if its values are equal', () => {
    const readLimit = (...values: readonly string[]) =>
      dialect.readAnswerSignals({
        status: 200,
        headers: values.map((value) => ['server-limit', value] as const),
        body: new Uint8Array(),
      }).limitStatement;

    expect(readLimit('3', '3')).toEqual({ kind: 'limited', requestsPerSecond: 3 });
    expect(readLimit('3', '5')).toEqual({ kind: 'invalid', text: '3, 5' });
  });
});
