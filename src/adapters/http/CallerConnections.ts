import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface ConnectionState {
  readonly open: Set<ServerResponse>;
  newest: ServerResponse | undefined;
  /** Set once an answer has announced to the caller that the connection closes. */
  isClosing: boolean;
}

/** Tracks the callers' connections and their open requests. */
export default class CallerConnections {
  private closesIdle = false;

  private readonly states = new Map<Socket, ConnectionState>();

  addConnection(socket: Socket): void {
    this.states.set(socket, { open: new Set(), newest: undefined, isClosing: false });
    socket.once('close', () => this.states.delete(socket));
  }

  /**
   * Returns false when the connection has already sent its last answer; the request must not be
   * handled then.
   */
  acceptRequest(socket: Socket, response: ServerResponse): boolean {
    const state = this.states.get(socket);
    if (!state || state.isClosing) return false;
    state.open.add(response);
    state.newest = response;
    // A request stays open until the last byte of its answer was handed to the operating system.
    response.once('close', () => {
      state.open.delete(response);
      // The last answer may have been written before the host began to stop, so without telling the
      // caller.
      if (this.closesIdle && state.open.size === 0) socket.end();
    });
    return true;
  }

  /**
   * Marks the answer as the last of its connection. Returns false when the caller has pipelined
   * another request behind it, which closing the connection would abort.
   */
  markLastAnswer(socket: Socket, response: ServerResponse): boolean {
    const state = this.states.get(socket);
    if (!state || state.newest !== response) return false;
    state.isClosing = true;
    return true;
  }

  hasOpenRequest(socket: Socket): boolean {
    return (this.states.get(socket)?.open.size ?? 0) > 0;
  }

  /** Closes connections without an open request, now and whenever one becomes idle. */
  closeIdle(): void {
    this.closesIdle = true;
    [...this.states]
      .filter(([, { open }]) => open.size === 0)
      .forEach(([socket]) => socket.destroy());
  }

  closeAll(): void {
    [...this.states.keys()].forEach((socket) => socket.destroy());
  }
}
