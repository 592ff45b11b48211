import { createTRPCUntypedClient, createWSClient, wsLink } from '@trpc/client';
import type { TRPCUntypedClient, TRPCWebSocketClient } from '@trpc/client';
import type { AnyTRPCRouter } from '@trpc/server';
import { WebSocket } from 'ws';
import type * as z from 'zod';

import type Result from '../../domain/errors/Result.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import createPeerEncoder from './createPeerEncoder.ts';
import { maxPeerMessageBytes } from './TrpcPeerServer.ts';
import peerCompression from './peerCompression.ts';

const maxReconnectDelayMs = 1000;
const pingIntervalMs = 2000;
const pongTimeoutMs = 1000;
// A connection that takes longer to open is opened again; the time after which the operating system
// repeats the first packet.
const openTimeoutMs = 1000;

/** Options of the connection to one peer. */
export interface TrpcPeerConnectionOptions {
  /** IP address and port of the `peers` listener of the peer. */
  readonly address: string;
  readonly peerKey: string;
  readonly ownHost: string;
  readonly clock: Clock;
  /** Gets a line for each malformed message of the peer. */
  readonly log: Log;
  /**
   * Idle timeout in milliseconds. When set, the connection opens with the first call, closes after
   * this time without a call, and is replaced when a call gets no answer by its deadline. Otherwise
   * the connection stays open and pings check whether it works.
   */
  readonly idleCloseMs?: number | undefined;
  /** Whether messages are compressed, for peers whose traffic is billed; false by default. */
  readonly isCompressed?: boolean;
}

/** One call of a peer's procedure. */
export interface PeerCall<Output> {
  /** Name of the procedure, for example `gossip.exchange`. */
  readonly path: string;
  readonly input: unknown;
  /** Schema of the peer's answer. */
  readonly output: z.ZodType<Output>;
  readonly deadline: number;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
}

/** A persistent WebSocket connection to one peer, reopened whenever it breaks. */
export default class TrpcPeerConnection {
  private readonly options: TrpcPeerConnectionOptions;

  private socket: TRPCWebSocketClient;

  private client: TRPCUntypedClient<AnyTRPCRouter>;

  /** Send time of the newest call that was answered, or the time of the last reconnection. */
  private lastAnsweredSentAt = -Infinity;

  /** When the connection that is being opened is given up. */
  private openDeadline = -Infinity;

  private isClosed = false;

  constructor(options: TrpcPeerConnectionOptions) {
    this.options = options;
    this.socket = this.openSocket();
    this.client = createTRPCUntypedClient({ links: [wsLink({ client: this.socket })] });
  }

  private openSocket(): TRPCWebSocketClient {
    const { options } = this;
    const recordOpening = (): void => {
      this.openDeadline = options.clock.now() + openTimeoutMs;
    };
    const headers = {
      authorization: `Bearer ${options.peerKey}`,
      'pistachiohoist-host': options.ownHost,
    };
    class PeerSocket extends WebSocket {
      constructor(url: string | URL) {
        recordOpening();
        super(url, {
          headers,
          maxPayload: maxPeerMessageBytes,
          perMessageDeflate: options.isCompressed ? peerCompression : false,
        });
      }
    }
    return createWSClient({
      url: `ws://${options.address}`,
      WebSocket: PeerSocket as unknown as typeof globalThis.WebSocket,
      experimental_encoder: createPeerEncoder(() =>
        options.log.warn('peers: a message of a peer is malformed', { address: options.address }),
      ),
      onOpen: () => {
        this.openDeadline = -Infinity;
      },
      retryDelayMs: (attempt) => Math.min(maxReconnectDelayMs, 50 * 2 ** attempt),
      ...(options.idleCloseMs === undefined
        ? { keepAlive: { enabled: true, intervalMs: pingIntervalMs, pongTimeoutMs } }
        : { lazy: { enabled: true, closeMs: options.idleCloseMs } }),
    });
  }

  /** Calls a procedure; fails with `peer_unreachable` without a valid answer by the deadline. */
  async requestPeer<Output>(call: PeerCall<Output>): Promise<Result<Output>> {
    const { address, clock } = this.options;
    const fail = (detail: string): Result<Output> => ({
      ok: false,
      failure: { kind: 'peer_unreachable', message: `${call.path} at ${address}: ${detail}` },
    });
    const sentAt = clock.now();
    const cancellation = new AbortController();
    const answered = new AbortController();
    const onAbort = (): void => cancellation.abort('the call was aborted');
    call.signal?.addEventListener('abort', onAbort, { once: true });
    if (call.signal?.aborted) cancellation.abort('the call was aborted');
    const deadlineTask = clock.sleepUntil(call.deadline, answered.signal).then(async () => {
      // Timers run before reading, so only the end of this turn shows what has arrived by now.
      if (!answered.signal.aborted) await clock.yieldToEventLoop();
      // Without a reason, abort creates an error with a stack trace, also for answered calls.
      if (!answered.signal.aborted) cancellation.abort('no answer by the deadline');
    });
    try {
      const answer = await this.client.mutation(call.path, call.input, {
        signal: cancellation.signal,
      });
      this.lastAnsweredSentAt = Math.max(this.lastAnsweredSentAt, sentAt);
      const parsed = call.output.safeParse(answer);
      return parsed.success ? { ok: true, value: parsed.data } : fail('the answer is malformed');
    } catch (error) {
      if (call.signal?.aborted) return fail('the call was aborted');
      if (cancellation.signal.aborted) this.resetStalled(sentAt);
      return fail(
        cancellation.signal.aborted ? 'no answer by the deadline' : (error as Error).message,
      );
    } finally {
      call.signal?.removeEventListener('abort', onAbort);
      answered.abort('answered');
      await deadlineTask;
    }
  }

  /** Calls a procedure whose answer is a `Result`, and returns that result. */
  async requestResult<Value>(call: PeerCall<Result<Value>>): Promise<Result<Value>> {
    const answer = await this.requestPeer(call);
    return answer.ok ? answer.value : answer;
  }

  // A connection can stop delivering messages permanently, without a reset, while new connections
  // work. A connection on which a later call was answered is slow, not broken. One that is opening
  // is kept, because a peer that is short of processor time would never have the time to accept it.
  private resetStalled(sentAt: number): void {
    if (this.isClosed || this.options.idleCloseMs === undefined) return;
    if (this.lastAnsweredSentAt >= sentAt) return;
    if (this.options.clock.now() < this.openDeadline) return;
    this.lastAnsweredSentAt = this.options.clock.now();
    const stalled = this.socket;
    this.socket = this.openSocket();
    this.client = createTRPCUntypedClient({ links: [wsLink({ client: this.socket })] });
    stalled.close().catch(() => undefined);
  }

  /** Closes the connection; later calls fail. */
  close(): void {
    this.isClosed = true;
    this.socket.close().catch(() => undefined);
  }
}
