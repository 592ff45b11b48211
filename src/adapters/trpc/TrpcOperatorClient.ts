import { createTRPCUntypedClient, httpLink, TRPCClientError } from '@trpc/client';
import type { AnyTRPCRouter } from '@trpc/server';
import type * as z from 'zod';

import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';
import type Clock from '../../ports/Clock.ts';

const callTimeoutMs = 5000;
// A group that has lost its leader elects another one within a few seconds.
const electionTimeoutMs = 10_000;
const roundIntervalMs = 250;

// After these errors, another control host may still answer.
const retriedKinds: ReadonlySet<ErrorKind> = new Set([
  'not_leader',
  'no_quorum',
  'peer_unreachable',
]);

/** Options of the operators' calls to the control group. */
export interface TrpcOperatorClientOptions {
  /** IP addresses and ports of operators listeners, tried in order. */
  readonly servers: readonly string[];
  readonly operatorKey: string;
  readonly operator: string;
  readonly clock: Clock;
}

/** One call of an operators' procedure. */
export interface OperatorCall<Output> {
  readonly kind: 'query' | 'mutation';
  /** Name of the procedure, for example `preset.list`. */
  readonly path: string;
  readonly input?: unknown;
  /** Schema of the answer. */
  readonly output: z.ZodType<Result<Output>>;
}

function describeError(error: unknown): { readonly status: number; readonly text: string } {
  const meta = error instanceof TRPCClientError ? error.meta : undefined;
  const { status = 0 } = (meta?.response ?? {}) as { readonly status?: number };
  const { cause, message } = error as Error;
  // fetch nests the reason, for example ECONNREFUSED, two causes deep.
  const reason = cause instanceof Error && cause.cause instanceof Error ? cause.cause : undefined;
  return { status, text: reason?.message || message };
}

function isFinal(answer: Result<unknown>): boolean {
  return answer.ok || !retriedKinds.has(answer.failure.kind);
}

/** Whether some control host answered, and none but the missing ones can be the leader. */
function isElecting(answers: readonly Result<unknown>[]): boolean {
  const failures = answers.flatMap((answer) => (answer.ok ? [] : [answer.failure]));
  const namesLeader = (failure: Failure): boolean =>
    failure.kind === 'not_leader' && failure.leader !== undefined;
  return (
    !answers.some(isFinal) &&
    failures.some(({ kind }) => kind !== 'peer_unreachable') &&
    !failures.every(namesLeader)
  );
}

function findReported<Output>(answers: readonly Result<Output>[]): Result<Output> | undefined {
  const isSpecific = (answer: Result<Output>): boolean =>
    !answer.ok && answer.failure.kind !== 'peer_unreachable';
  return answers.find(isFinal) ?? answers.find(isSpecific) ?? answers[0];
}

/** Calls the operators listeners of the control hosts, one after another until one answers. */
export default class TrpcOperatorClient {
  private readonly options: TrpcOperatorClientOptions;

  constructor(options: TrpcOperatorClientOptions) {
    this.options = options;
  }

  /**
   * Returns the first success, or the first failure that is not retried on another control host.
   * While the group has no leader, all are asked again for up to 10 s; then returns the most
   * specific failure. A change may be sent several times, always with the same change id.
   */
  async requestOperator<Output>(call: OperatorCall<Output>): Promise<Result<Output>> {
    const { clock } = this.options;
    const deadline = clock.now() + electionTimeoutMs;
    let answers = await this.requestServers(call);
    while (isElecting(answers) && clock.now() < deadline) {
      await clock.sleepUntil(Math.min(deadline, clock.now() + roundIntervalMs));
      answers = await this.requestServers(call);
    }
    const message = `${call.path}: the list of servers is empty: expected at least one address`;
    return findReported(answers) ?? { ok: false, failure: { kind: 'peer_unreachable', message } };
  }

  /** Asks one server after another; the last answer is final, unless all are retried. */
  private async requestServers<Output>(call: OperatorCall<Output>): Promise<Result<Output>[]> {
    const answers: Result<Output>[] = [];
    for (const server of this.options.servers) {
      const answer = await this.requestServer(server, call);
      answers.push(answer);
      if (isFinal(answer)) break;
    }
    return answers;
  }

  private async requestServer<Output>(
    server: string,
    call: OperatorCall<Output>,
  ): Promise<Result<Output>> {
    const { clock, operatorKey, operator } = this.options;
    const fail = (kind: 'peer_unreachable' | 'unauthorized' | 'message_invalid', detail: string) =>
      ({ ok: false, failure: { kind, message: `${call.path} at ${server}: ${detail}` } }) as const;
    const headers = {
      authorization: `Bearer ${operatorKey}`,
      'pistachiohoist-operator': operator,
    };
    const link = httpLink({ url: `http://${server}`, headers });
    const client = createTRPCUntypedClient<AnyTRPCRouter>({ links: [link] });
    const cancellation = new AbortController();
    const answered = new AbortController();
    const deadlineTask = clock
      .sleepUntil(clock.now() + callTimeoutMs, answered.signal)
      .then(() => cancellation.abort());
    try {
      const answer = await client[call.kind](call.path, call.input, {
        signal: cancellation.signal,
      });
      const parsed = call.output.safeParse(answer);
      return parsed.success ? parsed.data : fail('message_invalid', 'the answer is malformed');
    } catch (error) {
      if (cancellation.signal.aborted) return fail('peer_unreachable', 'no answer by the deadline');
      const { status, text } = describeError(error);
      if (status === 401)
        return fail('unauthorized', 'the key was refused: expected the operator key');
      return status === 0 ? fail('peer_unreachable', text) : fail('message_invalid', text);
    } finally {
      answered.abort();
      await deadlineTask;
    }
  }
}
