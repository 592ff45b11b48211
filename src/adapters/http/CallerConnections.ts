import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface ConnectionState {
  readonly open: Set<ServerResponse>;
  newest: ServerResponse | undefined;
  /** Set once an answer told the caller that the connection closes. */
  isClosing: boolean;
}

/** The callers' connections and their open requests. */
export default class CallerConnections {
  private closesIdle = false;

  private readonly states = new Map<Socket, ConnectionState>();

  addConnection(socket: Socket): void {
    this.states.set(socket, { open: new Set(), newest: undefined, isClosing: false });
    socket.once('close', () => this.states.delete(socket));
  }

  /** False when the connection has already sent its last answer; the request must not run. */
  acceptRequest(socket: Socket, response: ServerResponse): boolean {
    const state = this.states.get(socket);
    if (!state || state.isClosing) return false;
    state.open.add(response);
    state.newest = response;
    // An answer is open until its last byte was handed to the operating system.
    response.once('close', () => {
      state.open.delete(response);
      // The last answer can have been written before the stop began.
      if (this.closesIdle && state.open.size === 0) socket.end();
    });
    return true;
  }

  /**
   * Marks the answer as the last of its connection. False when the caller has pipelined another
   * request behind it, which closing the connection would cut off.
   */
  markLast(socket: Socket, response: ServerResponse): boolean {
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
