/** What one connection of a client may hold. */
export interface ConnectionLimits {
  /** Requests that have been begun and not answered; more are left to the operating system. */
  readonly maxOpenRequests: number;
  /** Requests in memory at a time, with those that arrived together with the last one begun. */
  readonly maxParsedRequests: number;
  /** Time for which a client may read nothing of an answer, in milliseconds. */
  readonly unreadMs: number;
}

/** Limits of the listeners whose clients are callers. */
export const callerConnectionLimits: ConnectionLimits = {
  maxOpenRequests: 32,
  maxParsedRequests: 96,
  unreadMs: 10_000,
};

/** Limits of all other listeners, whose clients ask one call at a time. */
export const plainConnectionLimits: ConnectionLimits = {
  maxOpenRequests: 1,
  maxParsedRequests: 96,
  unreadMs: 10_000,
};
