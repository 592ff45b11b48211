import type { IncomingMessage, ServerResponse } from 'node:http';

import ConnectionAccount from '../../domain/memory/ConnectionAccount.ts';
import type { ConnectionLimits } from '../../domain/memory/ConnectionLimits.ts';
import RequestsAhead from '../../domain/memory/RequestsAhead.ts';
import type BufferBudget from '../../domain/requests/BufferBudget.ts';
import type Clock from '../../ports/Clock.ts';
import type ListenerConnections from './ListenerConnections.ts';
import type PacedServer from './PacedServer.ts';
import type PacedSocket from './PacedSocket.ts';

// Interval of the checks for answers that are not read, in milliseconds.
const checkMs = 1000;
// Node.js begins all requests of a slice at once, and the shortest has 18 bytes, so the bound on
// the requests of a connection is exceeded by few.
const sliceBytes = 1024;
// The same while requests that were sent ahead have to wait.
const scarceSliceBytes = 256;
// Bytes that are handed over whole while no request is open, if they have few lines: each request
// has two at least.
const maxCalmBytes = 16_384;
const maxCalmLines = 64;
const lineFeed = 10;
// Slices within a body in chunks, which may be of one byte each.
const bodySliceBytes = 4096;
// Slices within a body of a known length, of which the parser makes one piece each.
const maxBodySliceBytes = 65_536;

function hasFewLines(bytes: Buffer): boolean {
  let [lines, lineEnd] = [0, bytes.indexOf(lineFeed)];
  while (lineEnd >= 0 && lines < maxCalmLines) {
    lines += 1;
    lineEnd = bytes.indexOf(lineFeed, lineEnd + 1);
  }
  return lineEnd < 0;
}

/** Why a connection was closed. */
type ClosedFor = 'memory' | 'requests_ahead' | 'unread_answer';

/** Options of the pacing. */
export interface ConnectionPacingOptions {
  readonly clock: Clock;
  readonly limits: ConnectionLimits;
  readonly budget: BufferBudget;
  /** Counts and logs the connections that are closed. */
  readonly listenerConnections?: ListenerConnections | undefined;
}

interface PacedConnection {
  readonly account: ConnectionAccount;
  readonly responses: Set<ServerResponse>;
  newestRequest: IncomingMessage | undefined;
  /** Number of handed bytes at which the body of the newest request ends, if that is known. */
  bodyEndsAt: number;
  writtenCount: number;
  /** Time at which the client read something, or had nothing to read, for the last time. */
  readAt: number;
}

/**
 * Limits what each connection of a server holds: hands further bytes to the parser only while the
 * account of the connection allows it, and closes connections that hold too much for too long.
 */
export default class ConnectionPacing {
  private readonly options: ConnectionPacingOptions;

  private readonly connections = new Map<PacedSocket, PacedConnection>();

  private readonly ahead = new RequestsAhead();

  private checkTask: Promise<void> | undefined;

  private isClosed = new AbortController();

  constructor(options: ConnectionPacingOptions) {
    this.options = options;
  }

  /** Paces all connections of a server. */
  watchServer(server: PacedServer): void {
    server.on('connection', (socket) => this.addConnection(socket as unknown as PacedSocket));
    // Before the listeners that answer, which may do so at once.
    (['request', 'checkExpectation'] as const).forEach((event) => {
      server.prependListener(event, (request: IncomingMessage, response: ServerResponse) =>
        this.addRequest(request, response),
      );
    });
  }

  private addConnection(socket: PacedSocket): void {
    const { clock, limits, budget } = this.options;
    const connection: PacedConnection = {
      account: new ConnectionAccount({
        ...{ limits, budget, ahead: this.ahead },
        onDrop: () => this.closeConnection(socket, 'memory'),
      }),
      responses: new Set(),
      newestRequest: undefined,
      bodyEndsAt: 0,
      writtenCount: 0,
      readAt: clock.now(),
    };
    this.connections.set(socket, connection);
    socket.setPacer({
      computeSliceBytes: (waiting) => this.computeSliceBytes(socket, connection, waiting),
      updateInput: () => connection.account.setInput(socket.waitingBytes, socket.unparsedBytes),
    });
    socket.once('close', () => this.removeConnection(socket, connection));
    this.startChecks();
  }

  private removeConnection(socket: PacedSocket, { account, responses }: PacedConnection): void {
    this.connections.delete(socket);
    account.close();
    if (this.connections.size === 0) this.isClosed.abort('no connection is open');
    // Node.js emits it only for the answer that was being written; the others wait for their turn.
    [...responses].forEach((response) => {
      response.destroy();
      response.emit('close');
    });
  }

  private addRequest(request: IncomingMessage, response: ServerResponse): void {
    const socket = request.socket as unknown as PacedSocket;
    const connection = this.connections.get(socket);
    if (!connection) return;
    const { account, responses } = connection;
    connection.newestRequest = request;
    connection.bodyEndsAt = socket.handedBytes + Number(request.headers['content-length'] ?? 0);
    socket.markParsed();
    account.addRequest();
    responses.add(response);
    response.once('close', () => {
      if (!responses.delete(response)) return;
      account.removeRequest();
      socket.readNext();
    });
    if (account.isOverfull) this.closeConnection(socket, 'requests_ahead');
  }

  private computeSliceBytes(
    { handedBytes }: PacedSocket,
    { account, newestRequest, bodyEndsAt }: PacedConnection,
    waiting: Buffer,
  ): number {
    // The rest of a request that was begun is always read.
    if (newestRequest && !newestRequest.complete) {
      return Math.max(bodySliceBytes, Math.min(maxBodySliceBytes, bodyEndsAt - handedBytes));
    }
    if (!account.mayParse) return 0;
    if (account.isAlone) return scarceSliceBytes;
    const isCalm = account.openRequests === 0 && waiting.byteLength <= maxCalmBytes;
    return isCalm && hasFewLines(waiting) ? maxCalmBytes : sliceBytes;
  }

  private closeConnection(socket: PacedSocket, limit: ClosedFor): void {
    if (socket.destroyed) return;
    const openRequests = this.connections.get(socket)?.account.openRequests;
    this.options.listenerConnections?.recordClosed({
      ...{ limit, openRequests, address: socket.remoteAddress },
      unreadBytes: socket.writableLength,
    });
    socket.destroy();
  }

  private startChecks(): void {
    if (this.checkTask) return;
    this.isClosed = new AbortController();
    this.checkTask = this.runChecks(this.isClosed.signal).finally(() => {
      this.checkTask = undefined;
      if (this.connections.size > 0) this.startChecks();
    });
  }

  private async runChecks(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleepUntil(clock.now() + checkMs, signal);
      this.connections.forEach((connection, socket) => this.checkReading(socket, connection));
    }
  }

  private checkReading(socket: PacedSocket, connection: PacedConnection): void {
    const now = this.options.clock.now();
    const { writtenCount } = socket;
    if (socket.writableLength === 0 || writtenCount > connection.writtenCount) {
      Object.assign(connection, { writtenCount, readAt: now });
    } else if (now - connection.readAt >= this.options.limits.unreadMs) {
      this.closeConnection(socket, 'unread_answer');
    }
  }
}
