import type Statement from './Statement.ts';

/** What an answer states about the requests that its upstream takes. */
export default interface AnswerStatements {
  /** Requests per second that the upstream takes from the whole fleet. */
  readonly limit: Statement<number>;
  /** Instant until which the upstream takes no further request from this host. */
  readonly pausedUntil: Statement<number>;
  /** Whether the upstream is leaving. */
  readonly leaving: Statement<true>;
}
