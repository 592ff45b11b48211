import { createTRPCUntypedClient, createWSClient, wsLink } from '@trpc/client';
import type { TRPCUntypedClient, TRPCWebSocketClient } from '@trpc/client';
import type { AnyTRPCRouter } from '@trpc/server';
import { WebSocket } from 'ws';
import type { z } from 'zod';

import type Result from '../../domain/errors/Result.ts';
import type Clock from '../../ports/Clock.ts';
import { maxPeerMessageBytes } from './TrpcPeerServer.ts';

const longestReconnectDelayMs = 1000;
const pingIntervalMs = 2000;
const pongTimeoutMs = 1000;

/** How to reach one peer. */
export interface TrpcPeerConnectionOptions {
  /** IP number and port of its peers listener. */
  readonly address: string;
  readonly peerKey: string;
  readonly ownHost: string;
  readonly clock: Clock;
}

/** One call of a peer's procedure. */
export interface PeerCall<Output> {
  /** Name of the procedure, for example `gossip.exchange`. */
  readonly path: string;
  readonly input: unknown;
  /** Checks the peer's answer. */
  readonly output: z.ZodType<Output>;
  readonly deadline: number;
  /** Ends the call early. */
  readonly signal?: AbortSignal;
}

/** One lasting WebSocket to one peer, opened again whenever it breaks. */
export default class TrpcPeerConnection {
  private readonly options: TrpcPeerConnectionOptions;

  private readonly socket: TRPCWebSocketClient;

  private readonly client: TRPCUntypedClient<AnyTRPCRouter>;

  constructor(options: TrpcPeerConnectionOptions) {
    this.options = options;
    const headers = {
      authorization: `Bearer ${options.peerKey}`,
      'pistachiohoist-host': options.ownHost,
    };
    class PeerSocket extends WebSocket {
      constructor(url: string | URL) {
        super(url, { headers, maxPayload: maxPeerMessageBytes });
      }
    }
    this.socket = createWSClient({
      url: `ws://${options.address}`,
      WebSocket: PeerSocket as unknown as typeof globalThis.WebSocket,
      retryDelayMs: (attempt) => Math.min(longestReconnectDelayMs, 50 * 2 ** attempt),
      keepAlive: { enabled: true, intervalMs: pingIntervalMs, pongTimeoutMs },
    });
    this.client = createTRPCUntypedClient({ links: [wsLink({ client: this.socket })] });
  }

  /** Calls a procedure; `peer_unreachable` when no valid answer came by the deadline. */
  async requestPeer<Output>(call: PeerCall<Output>): Promise<Result<Output>> {
    const { address, clock } = this.options;
    const fail = (detail: string): Result<Output> => ({
      ok: false,
      failure: { kind: 'peer_unreachable', message: `${call.path} at ${address}: ${detail}` },
    });
    const overdue = new AbortController();
    const answered = new AbortController();
    const onAbort = (): void => overdue.abort('the call was ended');
    call.signal?.addEventListener('abort', onAbort, { once: true });
    if (call.signal?.aborted) overdue.abort('the call was ended');
    const watch = clock.sleepUntil(call.deadline, answered.signal).then(() => {
      // Without a reason, abort creates an error with a stack trace, also for answered calls.
      if (!answered.signal.aborted) overdue.abort('no answer by the deadline');
    });
    try {
      const answer = await this.client.mutation(call.path, call.input, { signal: overdue.signal });
      const parsed = call.output.safeParse(answer);
      return parsed.success ? { ok: true, value: parsed.data } : fail('the answer is malformed');
    } catch (error) {
      if (call.signal?.aborted) return fail('the call was ended');
      return fail(overdue.signal.aborted ? 'no answer by the deadline' : (error as Error).message);
    } finally {
      call.signal?.removeEventListener('abort', onAbort);
      answered.abort('answered');
      await watch;
    }
  }

  /** Ends the connection; later calls fail. */
  close(): void {
    this.socket.close().catch(() => undefined);
  }
}
