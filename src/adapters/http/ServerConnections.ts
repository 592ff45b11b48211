import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import Notifier from '../../application/tasks/Notifier.ts';
import type Clock from '../../ports/Clock.ts';
import writeClientError from './writeClientError.ts';

// Longer than the one-way delay from a load balancer in the same region, which is at most 8 ms.
const lingerMs = 100;
// Time for the first bytes on a new connection: one retransmission of a lost packet (RFC 6298).
const firstBytesMs = 1000;
// Time for a caller to end its side. Closing a connection with unread bytes would reset it before
// the caller has read its answer.
const endMs = 500;

interface ConnectionState {
  readonly openResponses: Set<ServerResponse>;
  newestResponse: ServerResponse | undefined;
  /** Set once an answer has announced to the caller that the connection will be closed. */
  isClosing: boolean;
  /** Set once the end of the connection was sent. */
  isEnded: boolean;
  /** Bytes that had been read when the newest answer was sent; 0 before the first one. */
  answeredBytes: number;
  /** Time from which the connection may be closed, unless bytes arrive. */
  idleUntil: number;
}

/** Connections of a host that stops. */
export interface CloseCounts {
  /** Connections accepted since the stop began. */
  readonly accepted: number;
  /** Connections closed since then on which no request was answered. */
  readonly unanswered: number;
  /** Connections closed since then after bytes that no answer followed. */
  readonly cutOff: number;
}

// Whether the parser failed at bytes that follow the whole request. At the end of a connection
// the caller has gone, and its request is cancelled.
function isBehindRequest({ code = '' }: NodeJS.ErrnoException, { req }: ServerResponse): boolean {
  return code.startsWith('HPE_') && code !== 'HPE_INVALID_EOF_STATE' && req.complete;
}

/** Tracks the connections of a server and their open requests, and ends them. */
export default class ServerConnections {
  private readonly clock: Clock;

  private readonly notifier: Notifier;

  private counts: CloseCounts = { accepted: 0, unanswered: 0, cutOff: 0 };

  /** Time at which the newest connection was accepted; `-Infinity` before the first one. */
  lastConnectionAt = -Infinity;

  /** Time until which a close waits for the rest of a request. */
  private partsUntil = Infinity;

  private readonly states = new Map<Socket, ConnectionState>();

  constructor({ server, clock }: { readonly server: Server; readonly clock: Clock }) {
    this.clock = clock;
    this.notifier = new Notifier(clock);
    server.on('connection', (socket) => this.addConnection(socket));
    server.on('timeout', (socket) => {
      this.endSilent(socket).catch(() => socket.destroy());
    });
    server.on('clientError', (error, socket) => this.refuseConnection(error, socket as Socket));
  }

  get size(): number {
    return this.states.size;
  }

  /** Starts to count anew. */
  resetCounts(): void {
    this.counts = { accepted: 0, unanswered: 0, cutOff: 0 };
  }

  /** Returns the counts since they were reset. */
  readCounts(): CloseCounts {
    return this.counts;
  }

  /**
   * Records an open request. Returns false when the connection has already sent its last answer;
   * the request must not be handled then.
   */
  acceptRequest(socket: Socket, response: ServerResponse): boolean {
    const state = this.states.get(socket);
    if (!state || state.isClosing) return false;
    state.openResponses.add(response);
    state.newestResponse = response;
    // A request stays open until the last byte of its answer has been handed to the operating
    // system.
    response.once('close', () => {
      if (response.writableFinished) state.answeredBytes = socket.bytesRead;
      state.idleUntil = this.clock.now() + lingerMs;
      state.openResponses.delete(response);
      this.notifier.notify();
      // The head of the last answer may have been sent before it was known to be the last one.
      if (state.isClosing && state.openResponses.size === 0 && !socket.writableEnded) {
        this.startEnd(socket, state);
      }
    });
    return true;
  }

  /**
   * Marks the answer as the last one on its connection. Returns false when the caller has pipelined
   * another request, which closing the connection would abort.
   */
  markLastAnswer(socket: Socket, response: ServerResponse): boolean {
    const state = this.states.get(socket);
    if (!state || state.newestResponse !== response) return false;
    state.isClosing = true;
    return true;
  }

  /** Answers bytes that are no request, or a request that is overdue, and ends the connection. */
  refuseConnection(error: NodeJS.ErrnoException, socket: Socket): void {
    this.handleClientError(error, socket).catch(() => socket.destroy());
  }

  /**
   * Closes each connection when it is idle, with a part of a request at `partsUntil` the latest.
   * Resolves when none is left, or at the deadline, which may move while requests arrive. Returns
   * how late the event loop was at the most, in milliseconds.
   */
  async closeIdle(readDeadline: () => number, partsUntil: number): Promise<number> {
    const { clock } = this;
    this.partsUntil = partsUntil;
    // A request may be in transit on a connection that looks idle.
    const firstAt = clock.now() + lingerMs;
    let maxLateMs = 0;
    while (this.states.size > 0 && clock.now() < readDeadline()) {
      const closeAt = Math.max(firstAt, this.findNextIdle());
      await this.notifier.waitUntil(Math.min(closeAt, readDeadline()));
      const now = clock.now();
      maxLateMs = Math.max(maxLateMs, now - closeAt);
      // Timers run before reading, so only the end of this turn shows what has arrived by now.
      await clock.yieldToEventLoop();
      if (now >= firstAt) this.endIdle(now);
    }
    return Math.round(maxLateMs);
  }

  /** Resolves when all connections are closed. */
  async closeAll(): Promise<void> {
    [...this.states.keys()].forEach((socket) => socket.destroy());
    while (this.states.size > 0) await this.notifier.waitUntil(Infinity);
  }

  private addConnection(socket: Socket): void {
    this.lastConnectionAt = this.clock.now();
    const state: ConnectionState = {
      openResponses: new Set(),
      newestResponse: undefined,
      isClosing: false,
      isEnded: false,
      answeredBytes: 0,
      idleUntil: this.lastConnectionAt + firstBytesMs,
    };
    this.states.set(socket, state);
    this.addToCounts({ accepted: 1 });
    socket.once('close', () => {
      this.states.delete(socket);
      this.notifier.notify();
      this.addToCounts({
        unanswered: state.answeredBytes === 0 ? 1 : 0,
        cutOff: socket.bytesRead > state.answeredBytes ? 1 : 0,
      });
    });
  }

  /** Ends a connection that was silent until its timer ended, unless bytes have arrived. */
  private async endSilent(socket: Socket): Promise<void> {
    const { bytesRead } = socket;
    // Timers run before reading, so only the end of this turn shows what has arrived by now.
    await this.clock.yieldToEventLoop();
    const state = this.states.get(socket);
    if (!state || state.isEnded || state.openResponses.size > 0) return;
    // Node.js has started the timer again when it read the bytes.
    if (socket.bytesRead === bytesRead) await this.endConnection(socket, state);
  }

  // While a request is open, the caller would mistake an error answer for the answer to it. After
  // an error answer no request that arrives may run, because the answer says that it has not.
  private async handleClientError(error: NodeJS.ErrnoException, socket: Socket): Promise<void> {
    const state = this.states.get(socket);
    if (!state) return;
    const { newestResponse } = state;
    const isOverdue = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    if (isOverdue) {
      // Timers run before reading, so only the end of this turn shows what has arrived by now.
      await this.clock.yieldToEventLoop();
      if (state.newestResponse !== newestResponse) return;
    }
    if (newestResponse && state.openResponses.size > 0) {
      if (isOverdue || isBehindRequest(error, newestResponse)) {
        this.markLastAnswer(socket, newestResponse);
        newestResponse.shouldKeepAlive = false;
        return;
      }
    }
    if (state.openResponses.size > 0) socket.destroy();
    else {
      writeClientError(error, socket);
      await this.endConnection(socket, state);
    }
  }

  private findNextIdle(): number {
    return [...this.states].reduce(
      (next, [socket, state]) => Math.min(next, this.getIdleUntil(socket, state)),
      Infinity,
    );
  }

  private getIdleUntil(socket: Socket, state: ConnectionState): number {
    if (state.openResponses.size > 0 || state.isEnded) return Infinity;
    return socket.bytesRead > state.answeredBytes ? this.partsUntil : state.idleUntil;
  }

  private endIdle(now: number): void {
    [...this.states]
      .filter(([socket, state]) => this.getIdleUntil(socket, state) <= now)
      .forEach(([socket, state]) => this.startEnd(socket, state));
  }

  private startEnd(socket: Socket, state: ConnectionState): void {
    this.endConnection(socket, state).catch(() => socket.destroy());
  }

  /** Ends a connection, and closes it when the caller has ended it too, or shortly later. */
  private async endConnection(socket: Socket, state: ConnectionState): Promise<void> {
    Object.assign(state, { isClosing: true, isEnded: true });
    const closed = new AbortController();
    socket.once('close', () => closed.abort('closed'));
    socket.end();
    await this.clock.sleepUntil(this.clock.now() + endMs, closed.signal);
    socket.destroy();
  }

  private addToCounts({ accepted = 0, unanswered = 0, cutOff = 0 }: Partial<CloseCounts>): void {
    this.counts = {
      accepted: this.counts.accepted + accepted,
      unanswered: this.counts.unanswered + unanswered,
      cutOff: this.counts.cutOff + cutOff,
    };
  }
}
