/** One request to one upstream. */
export interface UpstreamRequest {
  readonly address: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /**
   * Whether the request may be sent once more. One that may not gets a connection of its own: a
   * kept one can be lost without notice, which shows only after the request was sent.
   */
  readonly mayRepeat: boolean;
  readonly requestId: string;
  /** Name of the upstream that is meant; undefined where any at the address will do. */
  readonly upstream?: string;
  readonly deadline: number;
  readonly maxAnswerBytes: number;
  /** Whether the answer must repeat the request id. */
  readonly echoRequestId: boolean;
  /** Aborts when the caller no longer waits. */
  readonly signal: AbortSignal;
  /** Asked in the last synchronous step before the first byte can leave; false sends nothing. */
  readonly mayDispatch: () => boolean;
}

/** A whole answer whose length was checked, unless it had none. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /** Whether the body had no length and ended with its connection, so that it may be a part. */
  readonly isUnframed?: boolean;
}

/** Why nothing was sent; `malformed`: the request can't be written as HTTP. */
export type NotSentReason =
  'unreachable' | 'forbidden' | 'cancelled' | 'deadline_passed' | 'malformed';

/** How a request failed after its first byte may have left. */
export type SentFailure =
  'timed_out' | 'reset' | 'truncated' | 'mismatched' | 'too_large' | 'cancelled';

/** How one request to one upstream ended. */
export type UpstreamResult =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'not_sent'; readonly reason: NotSentReason }
  | { readonly kind: 'failed'; readonly reason: SentFailure };

/** Sends requests to upstreams. */
export default interface UpstreamClient {
  /** Never rejects; every end is a result. */
  sendRequest(request: UpstreamRequest): Promise<UpstreamResult>;
  /** Closes idle connections and waits for open requests. */
  close(): Promise<void>;
}
