/** One request to one upstream. */
export interface UpstreamRequest {
  readonly address: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /**
   * Whether the request may be sent again. A request that must not be repeated gets a new
   * connection: an idle connection can be lost without notice, which shows only after the request
   * was sent.
   */
  readonly mayRepeat: boolean;
  readonly requestId: string;
  /** Name of the intended upstream; undefined when any upstream at the address may answer. */
  readonly upstream?: string;
  /** Name of the team that sent the request; undefined when it is not known. */
  readonly team?: string | undefined;
  readonly deadline: number;
  /** Instant at which `onOverdue` is called if no answer has arrived; never unless set. */
  readonly overdueAt?: number;
  /** Called once at `overdueAt`; the request goes on. */
  readonly onOverdue?: () => void;
  readonly maxAnswerBytes: number;
  /** Whether the answer must repeat the request id. */
  readonly echoRequestId: boolean;
  /** Aborts when the answer is no longer needed. */
  readonly signal: AbortSignal;
  /**
   * Called in the last synchronous step before the first byte may be sent; when it returns false,
   * nothing is sent.
   */
  readonly mayDispatch: () => boolean;
}

/** A complete answer; its length was checked when the upstream declared one. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /**
   * Whether the body had no declared length and ended with its connection, so that it may be
   * incomplete.
   */
  readonly isUnframed?: boolean;
}

/** Why nothing was sent; `malformed` means that the request can't be written as HTTP. */
export type NotSentReason =
  'unreachable' | 'forbidden' | 'cancelled' | 'deadline_passed' | 'malformed';

/** How a request failed after its first byte may have been sent. */
export type SentFailure =
  | 'timed_out'
  | 'reset'
  | 'truncated'
  | 'mismatched'
  /** The status code of the answer is not one of HTTP. */
  | 'invalid_status'
  /** The answer declared more bytes than the route allows. */
  | 'too_large'
  /** The answer had no length and did not end within the bytes that the route allows. */
  | 'endless'
  /** This host dropped the answer because it kept too many bytes. */
  | 'dropped'
  | 'cancelled';

/** How one request to one upstream ended. */
export type UpstreamResult =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'not_sent'; readonly reason: NotSentReason }
  | { readonly kind: 'failed'; readonly reason: SentFailure };

/** Sends requests to upstreams. */
export default interface UpstreamClient {
  /** Never rejects; every outcome is a result. */
  sendRequest(request: UpstreamRequest): Promise<UpstreamResult>;
  /** Sets the deadline of all requests that have a later one. */
  setLatestDeadline(deadline: number): void;
  /** Closes idle connections and waits until open requests have finished. */
  close(): Promise<void>;
}
