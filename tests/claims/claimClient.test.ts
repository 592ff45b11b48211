import { v7 } from 'uuid';
import { afterEach, describe, expect, it } from 'vitest';

import SystemRandomSource from '../../src/adapters/system/SystemRandomSource.ts';
import ClaimClient from '../../src/application/claims/ClaimClient.ts';
import type { ClaimOutcome } from '../../src/application/claims/ClaimGate.ts';
import type Clock from '../../src/ports/Clock.ts';
import FakeClaimNetwork from '../fixtures/FakeClaimNetwork.ts';
import type { MessageFault } from '../fixtures/FakeClaimNetwork.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeControlGroup from '../fixtures/FakeControlGroup.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const hosts = ['control-1', 'control-2', 'control-3'];
const fingerprint = 'a'.repeat(64);
const answer = { status: 201, headers: [], body: 'b2s=' } as const;

describe('ClaimClient', () => {
  const stops: (() => Promise<void>)[] = [];

  function startClient(
    options: {
      readonly drawFault?: (from: string, to: string) => MessageFault;
      readonly maxOpenAttempts?: number;
      readonly wrapClock?: (clock: FakeClock) => Clock;
    } = {},
  ) {
    const clock = new FakeClock();
    const group = new FakeControlGroup({ clock, hosts });
    const network = new FakeClaimNetwork({ clock, hosts, group, ...options });
    const client = new ClaimClient({
      clock: options.wrapClock?.(clock) ?? clock,
      random: new SystemRandomSource(),
      log: new SilentLog(),
      holder: 'entry-1/1',
      links: network.createLinks('entry-1', clock),
      ...(options.maxOpenAttempts ? { maxOpenAttempts: options.maxOpenAttempts } : {}),
    });
    const stop = new AbortController();
    const task = client.run(stop.signal);
    stops.push(async () => {
      stop.abort();
      await clock.advanceBy(5000);
      await task;
    });
    const request = (key = v7({ msecs: clock.now() }), timeoutMs = 5000): Promise<ClaimOutcome> =>
      client.requestClaim({ key, fingerprint, deadline: clock.now() + timeoutMs });
    const settle = async (outcome: Promise<ClaimOutcome>): Promise<ClaimOutcome> => {
      await clock.advanceBy(5000);
      return outcome;
    };
    return { clock, group, network, client, request, settle };
  }

  afterEach(async () => {
    await Promise.all(stops.splice(0).map((stop) => stop()));
  });

  function getRefusal(outcome: ClaimOutcome): string {
    return outcome.kind === 'refused' ? outcome.failure.kind : outcome.kind;
  }

  // Guards against sending one message and syncing the log once for each claim.
  it.each([1, 16, 256, 1000])(
    'should send %i simultaneous claims in batches of up to 256 claims',
    async (count) => {
      const batches = Math.ceil(count / 256);
      const { clock, group, network, request, settle } = startClient();
      // The first claim finds the leader, so that the counts include only the batches.
      await settle(request());
      const before = { requests: network.requests, commits: group.commits };

      const claims = Array.from({ length: count }, () => request());
      await clock.advanceBy(100);
      const outcomes = await Promise.all(claims);
      const messages = network.requests - before.requests;
      const commits = group.commits - before.commits;
      process.stdout.write(
        `claims: ${count} at the same time: ${messages / count} messages and ${commits / count} proposals per claim\n`,
      );

      expect(outcomes.every(({ kind }) => kind === 'granted')).toBe(true);
      expect({ messages, commits }).toEqual({ messages: batches, commits: batches });
    },
  );

  it('should send the claims that arrive while a batch is in flight as one batch', async () => {
    const { clock, network, request, settle } = startClient();
    await settle(request());
    const before = network.requests;

    const first = request();
    await clock.advanceBy(1);
    const others = Array.from({ length: 15 }, () => request());
    await clock.advanceBy(1);
    expect(network.requests - before).toBe(1);
    await clock.advanceBy(100);
    await Promise.all([first, ...others]);

    expect(network.requests - before).toBe(2);
  });

  // Guards against refusing claims while only the link to the leader is cut.
  it('should send the batch through a follower when the leader is unreachable', async () => {
    const { network, request, settle } = startClient();
    network.cutLinks.add('entry-1>control-1');

    expect(getRefusal(await settle(request()))).toBe('granted');
    const before = network.requests;
    expect(getRefusal(await settle(request()))).toBe('granted');
    expect(network.requests - before).toBe(1);
  });

  it('should be granted claims by the new leader after a leader change', async () => {
    const { group, request, settle } = startClient();
    await settle(request());
    group.electLeader('control-3');

    expect(getRefusal(await settle(request()))).toBe('granted');
  });

  // Guards against a key that stays claimed without a holder, because the claim was committed and
  // its answer was lost.
  it('should resend the release of a claim whose answer was lost until it is acknowledged', async () => {
    let isLossy = true;
    const drawFault = (): MessageFault => (isLossy ? { lost: 'answer' } : {});
    const { clock, client, request, settle } = startClient({ drawFault });
    const key = v7({ msecs: clock.now() });
    expect(getRefusal(await settle(request(key, 3000)))).toBe('claims_unavailable');
    expect(getRefusal(await settle(request(key, 3000)))).toBe('claims_unavailable');

    isLossy = false;
    await clock.advanceBy(5000);
    await client.waitIdle(clock.now());
    expect(getRefusal(await settle(request(key)))).toBe('granted');
  });

  // Guards against a dispatch after a process pause, when the caller has already received the
  // answer that the operation was not run.
  it('should refuse a granted claim when the process is paused past the deadline before its use', async () => {
    let pauseMs = 60_000;
    const wrapClock = (clock: FakeClock): Clock => ({
      now: () => clock.now(),
      yieldToEventLoop: () => clock.yieldToEventLoop(),
      sleepUntil: async (deadline, signal) => {
        await clock.sleepUntil(deadline, signal);
        // Only the wait for the claim returns more than 4 s before its deadline.
        const remainingMs = deadline - clock.now();
        if (remainingMs > 4000 && remainingMs < Infinity) clock.jumpTo(clock.now() + pauseMs);
      },
    });
    const { clock, request, settle } = startClient({ wrapClock });
    const key = v7({ msecs: clock.now() });
    expect(getRefusal(await settle(request(key)))).toBe('claims_unavailable');

    pauseMs = 0;
    expect(getRefusal(await settle(request(key)))).toBe('granted');
  });

  it('should resend a completion until it is acknowledged', async () => {
    let isLossy = false;
    const drawFault = (): MessageFault => (isLossy ? { lost: 'request' } : {});
    const { clock, client, request, settle } = startClient({ drawFault });
    const key = v7({ msecs: clock.now() });
    const outcome = await settle(request(key));
    isLossy = true;
    if (outcome.kind === 'granted') outcome.grantedClaim.completeRan(answer);
    let isIdle = false;
    const idle = client.waitIdle(clock.now() + 60_000).then(() => {
      isIdle = true;
    });
    await clock.advanceBy(20_000);
    expect(isIdle).toBe(false);
    isLossy = false;
    await clock.advanceBy(10_000);
    await idle;

    expect(await settle(request(key))).toEqual({ kind: 'replayed', answer });
  });

  it('should not replay answers larger than 4 KiB', async () => {
    const { clock, request, settle } = startClient();
    const key = v7({ msecs: clock.now() });
    const outcome = await settle(request(key));
    const body = Buffer.alloc(4097).toString('base64');
    if (outcome.kind === 'granted') outcome.grantedClaim.completeRan({ ...answer, body });

    expect(getRefusal(await settle(request(key)))).toBe('answer_not_kept');
  });

  // Guards against unbounded memory while the control group is unreachable.
  it('should refuse claims above the maximum number of open attempts', async () => {
    const { network, request, settle } = startClient({ maxOpenAttempts: 2 });
    const open = [await settle(request()), await settle(request())];
    const before = network.requests;
    expect(getRefusal(await request())).toBe('claims_unavailable');
    expect(network.requests).toBe(before);

    const [first] = open;
    if (first?.kind === 'granted') first.grantedClaim.completeUnknown();
    await settle(Promise.resolve({ kind: 'replayed', answer }));
    expect(getRefusal(await settle(request()))).toBe('granted');
  });

  it('should refuse a malformed key without a request to the control group', async () => {
    const { network, request } = startClient();

    expect(getRefusal(await request('7'))).toBe('key_invalid');
    expect(network.requests).toBe(0);
  });
});
