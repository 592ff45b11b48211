import type Result from '../../domain/errors/Result.ts';
import type AnswerStatements from '../../domain/statements/AnswerStatements.ts';
import type { UpstreamAnswer } from '../../ports/UpstreamClient.ts';
import type { CallerAnswer } from './CallerRequest.ts';

/** A header with its name in lower case. */
export type Header = readonly [string, string];

/** Signals that an upstream's answer carries in its status and headers. */
export interface AnswerSignals {
  /** The upstream states that it did not run the operation. */
  readonly hasNotRun: boolean;
  /** The upstream refused the request because of its load. */
  readonly isShed: boolean;
  /** The request reached a different upstream than the intended one (as with HTTP status 421). */
  readonly isMisdirected: boolean;
  /** Number of requests that run or wait at the upstream; undefined when it reported none. */
  readonly reportedLoad: number | undefined;
  /** What the upstream states about itself; undefined if the dialect has no such statements. */
  readonly statements: AnswerStatements | undefined;
}

/** Metadata of a request that is about to be sent to an upstream. */
export interface UpstreamRequestHead {
  readonly requestId: string;
  /** Name of the intended upstream; undefined when any upstream at the address is acceptable. */
  readonly upstream: string | undefined;
  /** Name of the team that sent the request; undefined when it is not known. */
  readonly team: string | undefined;
  readonly deadline: number;
  readonly now: number;
}

/** The header conventions for request metadata between callers, this fleet and upstreams. */
export default interface RequestDialect {
  /** Names of the headers that this fleet sets itself; they are never forwarded. */
  readonly reservedHeaders: ReadonlySet<string>;
  /** Names of the headers for keys and names of teams; not forwarded while a preset has teams. */
  readonly teamHeaders: ReadonlySet<string>;
  /** Whether an orderly close of the connection may mark the end of a body of unknown length. */
  readonly mayEndByClose: boolean;
  /** Instant until which the caller waits; undefined when the headers state none. */
  readDeadline(headers: readonly Header[], now: number): Result<number | undefined>;
  /** Request id that the caller set; undefined when it set none. */
  findRequestId(headers: readonly Header[]): string | undefined;
  /** Key of the caller's team; undefined when there is none, or several different ones. */
  findTeamKey(headers: readonly Header[]): string | undefined;
  /** Headers for the upstream besides the forwarded ones. */
  createUpstreamHeaders(head: UpstreamRequestHead): readonly Header[];
  /** Whether an answer with this status and these headers may belong to the request. */
  isAnswerTo(
    requestId: string,
    answer: { readonly status: number; readonly headers: readonly Header[] },
  ): boolean;
  /** Reads the signals of an answer that this host received at `now`. */
  readAnswerSignals(answer: UpstreamAnswer, now: number): AnswerSignals;
  /** Headers for the caller besides the forwarded ones; `requestHeaders` are those it sent. */
  createCallerHeaders(
    answer: CallerAnswer,
    now: number,
    requestHeaders: readonly Header[],
  ): readonly Header[];
}
