import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface ConnectionState {
  readonly openResponses: Set<ServerResponse>;
  newestResponse: ServerResponse | undefined;
  /** Set once an answer has announced to the caller that the connection will be closed. */
  isClosing: boolean;
  /** Bytes that had been read when the newest answer was sent; 0 before the first one. */
  answeredBytes: number;
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

/** Tracks the callers' connections and their open requests. */
export default class CallerConnections {
  private isClosingIdle = false;

  private counts: CloseCounts = { accepted: 0, unanswered: 0, cutOff: 0 };

  private readonly states = new Map<Socket, ConnectionState>();

  addConnection(socket: Socket): void {
    const state: ConnectionState = {
      openResponses: new Set(),
      newestResponse: undefined,
      isClosing: false,
      answeredBytes: 0,
    };
    this.states.set(socket, state);
    this.addToCounts({ accepted: 1 });
    socket.once('close', () => {
      this.states.delete(socket);
      this.addToCounts({
        unanswered: state.answeredBytes === 0 ? 1 : 0,
        cutOff: socket.bytesRead > state.answeredBytes ? 1 : 0,
      });
    });
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
      state.openResponses.delete(response);
      // The last answer may have been written before the host began to stop, without announcing to
      // the caller that the connection will be closed.
      if (this.isClosingIdle && state.openResponses.size === 0) socket.end();
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

  hasOpenRequest(socket: Socket): boolean {
    return (this.states.get(socket)?.openResponses.size ?? 0) > 0;
  }

  /** Closes connections without an open request, now and whenever one becomes idle. */
  closeIdle(): void {
    this.isClosingIdle = true;
    [...this.states]
      .filter(([, { openResponses }]) => openResponses.size === 0)
      .forEach(([socket]) => socket.destroy());
  }

  closeAll(): void {
    [...this.states.keys()].forEach((socket) => socket.destroy());
  }

  private addToCounts({ accepted = 0, unanswered = 0, cutOff = 0 }: Partial<CloseCounts>): void {
    this.counts = {
      accepted: this.counts.accepted + accepted,
      unanswered: this.counts.unanswered + unanswered,
      cutOff: this.counts.cutOff + cutOff,
    };
  }
}
