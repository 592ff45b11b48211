/** How far an attempt at an upstream came. */
export type AttemptResult =
  /** No connection was opened, so no upstream had any work with it. */
  | 'not_sent'
  /** The upstream said that it did not run the operation. */
  | 'not_run'
  /** A whole answer that reports a fault of the upstream. */
  | 'faulty_answer'
  /** A whole answer for the caller. */
  | 'good_answer'
  /** Bytes may have left and no whole answer came. */
  | 'unknown'
  /** The caller or its deadline ended the attempt. */
  | 'given_up';

export type { AttemptResult as default };
