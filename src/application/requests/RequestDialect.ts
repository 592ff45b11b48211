import type Result from '../../domain/errors/Result.ts';
import type { UpstreamAnswer } from '../../ports/UpstreamClient.ts';
import type { CallerAnswer } from './CallerRequest.ts';

/** A header with its name in lower case. */
export type Header = readonly [string, string];

/** What an upstream's answer says besides its content. */
export interface AnswerSignals {
  /** The upstream states that it did not run the operation. */
  readonly hasNotRun: boolean;
  /** The upstream refused the request because of load. */
  readonly isShed: boolean;
  /** The address belongs to another upstream than the one that was meant. */
  readonly isMisdirected: boolean;
  /** Requests that run or wait at the upstream, when reported. */
  readonly reportedLoad: number | undefined;
}

/** One request about to be sent to one upstream. */
export interface UpstreamRequestHead {
  readonly requestId: string;
  /** Name of the upstream that is meant; undefined where any at the address will do. */
  readonly upstream: string | undefined;
  readonly deadline: number;
  readonly now: number;
}

/** The headers by which callers, this fleet and upstreams tell each other about a request. */
export default interface RequestDialect {
  /** Names of the headers that this fleet sets itself; they never pass through. */
  readonly reservedHeaders: ReadonlySet<string>;
  /** Whether a body without a length may end with an orderly close of its connection. */
  readonly mayEndByClose: boolean;
  /** Instant until which the caller waits; undefined when it does not say. */
  readDeadline(headers: readonly Header[], now: number): Result<number | undefined>;
  /** The id that the caller gave its request; undefined when it gave none. */
  findRequestId(headers: readonly Header[]): string | undefined;
  /** Headers for the upstream besides those that pass through. */
  createUpstreamHeaders(head: UpstreamRequestHead): readonly Header[];
  /** Whether an answer that starts with these headers may belong to the request. */
  isAnswerTo(
    requestId: string,
    answer: { readonly status: number; readonly headers: readonly Header[] },
  ): boolean;
  readAnswerSignals(answer: UpstreamAnswer): AnswerSignals;
  /** Headers for the caller besides those that pass through. */
  createCallerHeaders(answer: CallerAnswer, now: number): readonly Header[];
}
