import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import createHandlerPath from '../fixtures/createHandlerPath.ts';
import type { AttemptScript } from '../fixtures/createHandlerPath.ts';
import readFuzzSettings from '../fixtures/readFuzzSettings.ts';

const { parameters, timeoutMs } = readFuzzSettings('requests fuzz', 1000);
const { seed, numRuns } = parameters;

const attemptArbitrary: fc.Arbitrary<AttemptScript> = fc.record({
  end: fc.constantFrom(
    'good',
    'client_error',
    'server_error',
    'shed',
    'not_run',
    'unreachable',
    'reset',
    'truncated',
    'mismatched',
    'too_large',
    'endless',
    'dropped',
    'silent',
    'deregistered',
    'throws',
  ),
  waitMs: fc.constantFrom(0, 10, 100, 600),
  callerDisconnects: fc.constantFrom('no', 'no', 'no', 'no', 'before', 'after'),
});

describe('outcomes of requests', () => {
  // Guards against a second dispatch of an operation that may have run, against a reported outcome
  // that contradicts what happened, and against claims that are never completed or completed twice.
  it(
    `should report outcomes and complete claims that match the results of the attempts (FUZZ_SEED=${seed} FUZZ_RUNS=${numRuns})`,
    async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(attemptArbitrary, { minLength: 6, maxLength: 6 }),
          fc.constantFrom('allowed' as const, 'never' as const),
          fc.constantFrom('granted' as const, 'refused' as const, 'replayed' as const),
          fc.constantFrom(0, 10, 1000),
          fc.integer({ min: 0, max: 5 }),
          async (attempts, repeat, claim, claimMs, upstreams) => {
            const path = createHandlerPath({ attempts, repeat, claim, claimMs, upstreams });
            const { answer, possibleRuns, ran, completions } = await path.runRequest();

            if (repeat === 'never') {
              expect(possibleRuns).toBeLessThanOrEqual(1);
              // The outcome is not-run exactly when no attempt may have run the operation.
              if (claim === 'granted' && answer.errorKind !== 'internal') {
                expect(answer.outcome === 'not-run').toBe(possibleRuns === 0);
              }
            }
            if (answer.outcome === 'not-run') expect(possibleRuns).toBe(0);
            if (answer.outcome === 'ran' && claim !== 'replayed') expect(ran).toBeGreaterThan(0);
            const expectedCompletions =
              repeat === 'never' && claim === 'granted' && path.hasClaimed() ? 1 : 0;
            expect(completions).toHaveLength(expectedCompletions);
            if (completions[0] === 'not_run') expect(possibleRuns).toBe(0);
            if (completions[0] === 'ran') expect(answer.errorKind).toBeUndefined();
            if (completions.length > 0 && possibleRuns === 0 && answer.errorKind !== 'internal') {
              expect(completions).toEqual(['not_run']);
            }
          },
        ),
        { seed, numRuns },
      );
    },
    timeoutMs,
  );

  const unreachable: AttemptScript[] = Array.from({ length: 5 }, () => ({
    end: 'unreachable',
    waitMs: 0,
    callerDisconnects: 'no',
  }));

  // Guards against reporting the outcome not-run because the last attempt did not run, although an
  // earlier one may have run.
  it('should report the outcome of an attempt that may have run and not of a later one that did not', async () => {
    const path = createHandlerPath({
      attempts: [{ end: 'reset', waitMs: 0, callerDisconnects: 'no' }, ...unreachable],
      repeat: 'allowed',
      upstreams: 2,
    });

    const { answer, attempts } = await path.runRequest();

    expect(attempts).toBe(2);
    expect([answer.errorKind, answer.outcome]).toEqual(['upstream_reset', 'unknown']);
  });

  // Guards against an upstream that sends without end and fails requests that another could answer.
  it.each([
    ['endless', 200],
    ['too_large', 502],
    ['dropped', 502],
  ] as const)(
    'should end with the right status after an answer that is %s',
    async (end, status) => {
      const path = createHandlerPath({
        attempts: [{ end, waitMs: 0, callerDisconnects: 'no' }],
        repeat: 'allowed',
        upstreams: 2,
      });

      expect((await path.runRequest()).answer.status).toBe(status);
    },
  );

  // Guards against a host that was paused between the decision to retry and the write.
  it('should not send a retry after the time for which it was allowed', async () => {
    const broken: AttemptScript = { end: 'reset', waitMs: 0, callerDisconnects: 'no' };
    const path = createHandlerPath({
      attempts: [broken, { ...broken, end: 'good', waitMs: 600 }],
      ...{ repeat: 'allowed', upstreams: 2, retryMs: 500 },
    });

    const { answer, possibleRuns, triedUpstreams } = await path.runRequest();

    expect([answer.status, possibleRuns, triedUpstreams.length]).toEqual([502, 1, 2]);
  });

  it('should send the request to another upstream with the same retry when it was not sent', async () => {
    const broken: AttemptScript = { end: 'reset', waitMs: 0, callerDisconnects: 'no' };
    const path = createHandlerPath({
      attempts: [broken, { ...broken, end: 'unreachable' }],
      ...{ repeat: 'allowed', upstreams: 3, retryShare: 0 },
    });

    expect((await path.runRequest()).answer.status).toBe(200);
  });

  // Guards against storing no answer, or reporting the outcome ran, for a server error: the
  // operation may have run in part.
  it('should pass on a server error with the outcome unknown and store its answer', async () => {
    const attempts: AttemptScript[] = [
      { end: 'server_error', waitMs: 0, callerDisconnects: 'no' },
      ...unreachable,
    ];
    const path = createHandlerPath({ attempts, repeat: 'never', upstreams: 2 });

    const { answer, completions, storedStatus } = await path.runRequest();

    expect([answer.status, answer.outcome, answer.errorKind]).toEqual([500, 'unknown', undefined]);
    expect([completions, storedStatus]).toEqual([['ran'], 500]);
  });

  // Guards against keeping a claim although nothing was dispatched: the caller could not resend the
  // request.
  it.each([
    ['the caller disconnects', 'before', 0, 'caller_gone'],
    ['the deadline passes', 'no', 2000, 'deadline_passed'],
  ] as const)(
    'should release the claim when %s while the claim is requested',
    async (_title, callerDisconnects, claimMs, kind) => {
      const attempts = unreachable.map((attempt) => ({ ...attempt, callerDisconnects }));
      const path = createHandlerPath({ attempts, repeat: 'never', claimMs, upstreams: 2 });

      const { answer, completions, possibleRuns } = await path.runRequest();

      expect([answer.errorKind, answer.outcome, possibleRuns]).toEqual([kind, 'not-run', 0]);
      expect(completions).toEqual(['not_run']);
    },
  );

  // Guards against a silent upstream that uses up the time in which another could answer.
  it('should ask a second upstream after half of the remaining time and end the attempt at the first when it answers', async () => {
    const attempts: AttemptScript[] = [
      { end: 'silent', waitMs: 0, callerDisconnects: 'no' },
      { end: 'good', waitMs: 10, callerDisconnects: 'no' },
      ...unreachable,
    ];
    const path = createHandlerPath({ attempts, repeat: 'allowed', upstreams: 2 });

    const { answer, attempts: attemptCount, timeouts } = await path.runRequest();

    expect([answer.status, answer.outcome]).toEqual([200, 'ran']);
    expect([attemptCount, timeouts]).toEqual([2, [510]]);
  });

  // Guards against losing an answer that is late, but earlier than that of the second upstream.
  it('should take the answer of the first upstream when it comes before that of the second', async () => {
    const slow: AttemptScript = { end: 'good', waitMs: 0, answerMs: 700, callerDisconnects: 'no' };
    const path = createHandlerPath({
      attempts: [slow, { ...slow, end: 'silent' }],
      repeat: 'allowed',
      upstreams: 2,
    });

    const { answer, attempts, timeouts } = await path.runRequest();

    expect([answer.status, attempts, timeouts]).toEqual([200, 2, [700]]);
  });

  // Guards against a failure of the second upstream that ends a request at which the first works.
  it.each(['unreachable', 'reset', 'not_run', 'server_error'] as const)(
    'should wait for the first upstream when the second ends with %s',
    async (end) => {
      const slow: AttemptScript = {
        ...{ end: 'good', waitMs: 0, answerMs: 700 },
        callerDisconnects: 'no',
      };
      const path = createHandlerPath({
        attempts: [slow, { ...slow, end, answerMs: 0 }],
        repeat: 'allowed',
        upstreams: 2,
      });

      const { answer, attempts, timeouts } = await path.runRequest();

      expect([answer.status, attempts, timeouts]).toEqual([200, 2, []]);
    },
  );

  // A second upstream that answers too late is of no use, so the first one is not given up early.
  it('should ask a second upstream once the answer is overdue', async () => {
    const path = createHandlerPath({
      attempts: [{ end: 'silent', waitMs: 0, callerDisconnects: 'no' }],
      repeat: 'allowed',
      upstreams: 2,
      longMs: 200,
    });

    const { answer, attempts, timeouts } = await path.runRequest();

    expect([answer.status, attempts, timeouts]).toEqual([200, 2, [200]]);
  });

  // Seen on Sinagbantay: look-ups at an upstream that had died waited for it until their deadline,
  // because all others were busy at the moment at which the answer was overdue.
  it.each([
    ['asks it after half of the time left', 5, 2, [600]],
    ['does without it when it would answer too late', 8, 1, [1000]],
  ])(
    'should not add to the queue of a busy second upstream, and %s',
    async (_title, open, attempts, timeouts) => {
      const path = createHandlerPath({
        attempts: [{ end: 'silent', waitMs: 0, callerDisconnects: 'no' }],
        ...{ repeat: 'allowed', upstreams: 2, longMs: 200, openRequests: { u1: open } },
      });

      expect(await path.runRequest()).toMatchObject({ attempts, timeouts });
    },
  );

  it('should never ask a second upstream while the operation may run at the first', async () => {
    const path = createHandlerPath({
      attempts: [{ end: 'silent', waitMs: 0, callerDisconnects: 'no' }],
      repeat: 'never',
      upstreams: 2,
      longMs: 200,
    });

    const { answer, attempts, timeouts } = await path.runRequest();

    expect([answer.errorKind, attempts, timeouts]).toEqual(['upstream_timeout', 1, [1000]]);
  });

  // Seen on the grown Urithi fleet: attempts were cut off after half of the time, and by then other
  // requests had spent the retries. Guards against ending an attempt when no retry can follow.
  it('should wait for a late answer when other requests have spent the retry budget meanwhile', async () => {
    const slow: AttemptScript = { end: 'good', waitMs: 0, answerMs: 700, callerDisconnects: 'no' };
    const resets = Array.from({ length: 20 }, () => ({ ...slow, end: 'reset' as const }));
    const path = createHandlerPath({
      attempts: [slow, ...resets],
      repeat: 'allowed',
      upstreams: 3,
      retryShare: 0,
    });

    const pending = path.runRequest(0);
    let other = await path.runRequest(0);
    while (other.attempts > 1) other = await path.runRequest(0);
    await path.runRequest(1000);
    const { answer, timeouts } = await pending;

    expect([answer.status, timeouts]).toEqual([200, []]);
  });

  // Guards against a host that interrupts a request at which an upstream works while it stops.
  it('should wait for a late answer while this host stops', async () => {
    const slow: AttemptScript = { end: 'good', waitMs: 0, answerMs: 700, callerDisconnects: 'no' };
    const runWhile = (isStopping: boolean) =>
      createHandlerPath({
        attempts: [slow],
        repeat: 'allowed',
        upstreams: 2,
        stopLimiter: { isStopping, mayStart: () => true },
      }).runRequest();

    expect(await runWhile(false)).toMatchObject({ attempts: 2, timeouts: [500] });
    expect(await runWhile(true)).toMatchObject({ attempts: 1, timeouts: [] });
  });

  // Guards against ending an attempt early when no retry can follow.
  it.each([
    ['there is no other upstream', 1, 0.1, 0],
    ['the retry budget is spent', 3, 0, 20],
  ])(
    'should let an attempt run until the deadline when %s',
    async (_title, upstreams, retryShare, resetCount) => {
      const attempts: AttemptScript[] = [
        // Resets use up the retry budget; attempts that reach no upstream don't.
        ...Array.from(
          { length: resetCount },
          () => ({ ...unreachable[0], end: 'reset' }) as AttemptScript,
        ),
        ...unreachable.map((attempt) => ({ ...attempt, end: 'silent' as const })),
      ];
      const path = createHandlerPath({ attempts, repeat: 'allowed', upstreams, retryShare });
      let last = await path.runRequest();
      while (last.timeouts.length === 0) last = await path.runRequest();

      expect([last.attempts, last.timeouts]).toEqual([1, [last.startedAt + 1000]]);
    },
  );

  // Guards against retries that add load to a service without spare capacity.
  it('should not retry while every upstream sheds load', async () => {
    const attempts = Array.from({ length: 12 }, () => ({
      end: 'shed' as const,
      waitMs: 0,
      callerDisconnects: 'no' as const,
    }));
    const path = createHandlerPath({ attempts, repeat: 'allowed', upstreams: 3 });

    const first = await path.runRequest(10);
    const second = await path.runRequest(10);

    expect([first.attempts, second.attempts]).toEqual([3, 1]);
  });

  // Guards against sending a request to an upstream that deregistered while the request waited for
  // a connection.
  it('should use another upstream when the chosen one is no longer usable at the dispatch', async () => {
    const attempts: AttemptScript[] = [
      { end: 'deregistered', waitMs: 10, callerDisconnects: 'no' },
      { end: 'good', waitMs: 0, callerDisconnects: 'no' },
      ...unreachable,
    ];
    const path = createHandlerPath({ attempts, repeat: 'never', upstreams: 2 });

    const { answer, attempts: attemptCount, possibleRuns } = await path.runRequest();

    expect([answer.status, attemptCount, possibleRuns]).toEqual([200, 2, 1]);
  });

  // Guards against retrying an operation that must not repeat after a server error: it may have run
  // in part.
  it('should try each upstream at most once and stop after an attempt that may have run', async () => {
    const attempts: AttemptScript[] = [
      { end: 'unreachable', waitMs: 0, callerDisconnects: 'no' },
      { end: 'not_run', waitMs: 0, callerDisconnects: 'no' },
      { end: 'server_error', waitMs: 0, callerDisconnects: 'no' },
      ...unreachable,
    ];
    const path = createHandlerPath({ attempts, repeat: 'never', upstreams: 5 });

    const { triedUpstreams, answer } = await path.runRequest();

    expect(new Set(triedUpstreams).size).toBe(3);
    expect(triedUpstreams).toHaveLength(3);
    expect(answer.outcome).toBe('unknown');
  });
});
