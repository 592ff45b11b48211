/** Result of an attempt at an upstream. */
export type AttemptResult =
  /** The request was not sent, so no upstream received it. */
  | 'not_sent'
  /** The upstream stated that it did not run the operation. */
  | 'not_run'
  /** A complete answer that reports a fault of the upstream. */
  | 'faulty_answer'
  /** A complete answer without a fault. */
  | 'good_answer'
  /** Part of the request may have been sent, and no complete answer was received. */
  | 'unknown'
  /** No retry would help: the caller disconnected, its deadline passed or the fault would recur. */
  | 'given_up';

export type { AttemptResult as default };
