import { setMaxListeners } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import type { CallerAnswer } from '../../application/requests/CallerRequest.ts';
import DefaultDialect from '../../application/requests/DefaultDialect.ts';
import type RequestDialect from '../../application/requests/RequestDialect.ts';
import type { Header } from '../../application/requests/RequestDialect.ts';
import type RequestHandler from '../../application/requests/RequestHandler.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type { CallerLimits } from '../../domain/presets/Preset.ts';
import { callerConnectionLimits } from '../../domain/memory/ConnectionLimits.ts';
import type { ConnectionLimits } from '../../domain/memory/ConnectionLimits.ts';
import BufferBudget from '../../domain/requests/BufferBudget.ts';
import type BufferedBytes from '../../domain/requests/BufferedBytes.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import ConnectionPacing from './ConnectionPacing.ts';
import type ListenerConnections from './ListenerConnections.ts';
import PacedServer from './PacedServer.ts';
import ServerConnections from './ServerConnections.ts';
import closeServer from './closeServer.ts';
import dropBody from './dropBody.ts';
import openServer from './openServer.ts';
import readBody from './readBody.ts';
import setIdleTimeout from './setIdleTimeout.ts';

const defaultMaxHeaderBytes = 16_384;
// Longer than the idle timeout of common load balancers (60 s), so that the load balancer closes an
// idle connection first.
const keepAliveTimeoutMs = 75_000;
const defaultHeadersTimeoutMs = 10_000;
// Interval at which Node.js checks for connections whose headers are overdue.
const headersCheckMs = 500;
// Time for a refused caller to stop sending. Closing a connection with unread bytes would reset it
// before the caller has read the answer.
const discardMs = 500;
// Time to refuse a request that has not arrived whole, for its caller to stop sending and then to
// close its connection, and for a busy machine to be late with each.
const refusalMs = 1500;
// Time that callers of a stopping host have to read their answers after the last deadline.
const flushMs = 5000;
// The same when the platform is about to kill the process.
const lastFlushMs = 250;

/** Options of the front end. */
export interface HttpFrontEndOptions {
  readonly handler: RequestHandler;
  readonly clock: Clock;
  readonly log: Log;
  /** Maximum time in which the headers of a request must arrive; 10 s unless set. */
  readonly headersTimeoutMs?: number;
  /** Maximum size of the headers of a request; 16 KiB unless set. */
  readonly maxHeaderBytes?: number;
  /** The default dialect unless set. */
  readonly dialect?: RequestDialect;
  /** Limits the memory of connections, requests and answers; unless set, there is no limit. */
  readonly buffers?: BufferBudget;
  /** What one connection may hold; `callerConnectionLimits` unless set. */
  readonly connectionLimits?: ConnectionLimits;
  /** Counts the connections of the listener. */
  readonly listenerConnections?: ListenerConnections;
}

function readHeaders(request: IncomingMessage): Header[] {
  const texts = request.rawHeaders;
  return texts
    .filter((_, index) => index % 2 === 0)
    .map((name, index) => [name.toLowerCase(), texts[2 * index + 1] ?? ''] as const);
}

// Adds two bytes to each name (colon and space) and two to each value (end of the line).
function countHeaderBytes({ url = '', rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, url.length);
}

function mayHaveBody(method: string | undefined, status: number): boolean {
  return method !== 'HEAD' && status !== 204 && status !== 304;
}

/** Accepts callers' HTTP requests and writes their answers. */
export default class HttpFrontEnd {
  private readonly options: HttpFrontEndOptions;

  private readonly server: PacedServer;

  private readonly connections: ServerConnections;

  private readonly dialect: RequestDialect;

  private isStopping = false;

  private latestDeadline = 0;

  /** Aborts when the host no longer waits for the rest of a body. */
  private readonly partsEnded = new AbortController();

  private limits: CallerLimits | undefined;

  constructor(options: HttpFrontEndOptions) {
    this.options = options;
    this.dialect = options.dialect ?? new DefaultDialect();
    this.server = new PacedServer(
      {
        maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
        headersTimeout: options.headersTimeoutMs ?? defaultHeadersTimeoutMs,
        connectionsCheckingInterval: headersCheckMs,
        // The deadline of the request limits the time for the body.
        requestTimeout: 0,
        // `serveRequest` checks the Host header, so that the answer carries the error kind.
        requireHostHeader: false,
      },
      (request, response) => {
        this.serveRequest(request, response).catch((error: Error) => {
          this.options.log.error('requests: handling a request failed', { error: error.message });
          response.destroy();
        });
      },
    );
    // 0 means unlimited. Node.js would silently drop headers above this count; their total size is
    // limited already.
    this.server.maxHeadersCount = 0;
    setIdleTimeout(this.server, keepAliveTimeoutMs);
    // Every body that is being read adds a listener; Node.js warns above 10.
    setMaxListeners(0, this.partsEnded.signal);
    this.connections = new ServerConnections({ server: this.server, clock: options.clock });
    options.listenerConnections?.watchRequests(this.server);
    const { clock, listenerConnections, buffers } = options;
    new ConnectionPacing({
      ...{ clock, listenerConnections },
      limits: options.connectionLimits ?? callerConnectionLimits,
      budget: buffers ?? new BufferBudget({ maxBytes: Infinity }),
    }).watchServer(this.server);
    this.server.on('connect', (_request, socket) => {
      // Node.js no longer handles errors of this connection.
      socket.on('error', (error) =>
        options.log.info('requests: the connection of a caller failed', { error: error.message }),
      );
      const error = new Error('method CONNECT is not supported');
      this.connections.refuseConnection(error, socket as Socket);
    });
    this.server.on('checkExpectation', (request, response) => {
      if (!this.connections.acceptRequest(request.socket, response)) return;
      const message = `${request.method} ${request.url}: header Expect: value "${request.headers.expect}": expected 100-continue`;
      this.refuseRequest(request, response, { kind: 'request_malformed', message }).catch(() =>
        response.destroy(),
      );
    });
  }

  openListener(address: ListenAddress): Promise<void> {
    const { log } = this.options;
    return openServer(this.server, { address, key: 'listen.callers', log });
  }

  /** The address that the listener is bound to; tests listen on port 0. */
  get address(): AddressInfo {
    return this.server.address() as AddressInfo;
  }

  get lastConnectionAt(): number {
    return this.connections.lastConnectionAt;
  }

  /**
   * Applies the limits of a preset to later connections and requests; undefined restores the
   * defaults.
   */
  useLimits(limits: CallerLimits | undefined): void {
    this.limits = limits;
    const { headersTimeoutMs } = this.options;
    this.server.headersTimeout =
      limits?.headersTimeoutMs ?? headersTimeoutMs ?? defaultHeadersTimeoutMs;
    setIdleTimeout(this.server, limits?.idleTimeoutMs ?? keepAliveTimeoutMs);
  }

  /** Makes all further answers ask callers to close their connections. */
  startClose(): void {
    if (this.isStopping) return;
    this.isStopping = true;
    this.connections.resetCounts();
  }

  /**
   * Stops accepting connections and resolves when every open request has been answered, at the
   * latest a few seconds after the last deadline of a request, or shortly after the given one.
   */
  async closeListener(deadline = Infinity): Promise<void> {
    this.startClose();
    const { clock, log } = this.options;
    const { server, connections } = this;
    const closingAt = clock.now();
    const readDeadline = (): number =>
      Math.min(Math.max(closingAt, this.latestDeadline) + flushMs, deadline + lastFlushMs);
    const partsUntil = deadline - refusalMs;
    const closing = new AbortController();
    const partsTask = this.endParts(partsUntil, closing.signal);
    const closed = await closeServer({
      ...{ server, connections, clock, readDeadline, partsUntil },
    });
    closing.abort('closed');
    await partsTask;
    if (closed.closedLate > 0) {
      log.warn('requests: closing connections whose callers did not read their answers');
    }
    log.info('lifecycle: the callers listener is closed', { ...closed });
  }

  private async endParts(partsUntil: number, signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    await clock.sleepUntil(partsUntil, signal);
    // Timers run before reading, so only the end of this turn shows what has arrived by now.
    await clock.yieldToEventLoop();
    this.partsEnded.abort('the host stops');
  }

  private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.connections.acceptRequest(request.socket, response)) return;
    const disconnection = new AbortController();
    response.once('close', () => {
      // Nothing listens to the signal of an answered request any more, and aborting it has a cost.
      if (!response.writableFinished) disconnection.abort('the caller disconnected');
    });
    const head = {
      method: request.method ?? '',
      target: request.url ?? '',
      headers: readHeaders(request),
    };
    const hostHeaders = head.headers.filter(([name]) => name === 'host').length;
    if (hostHeaders > 1 || (hostHeaders === 0 && request.httpVersion === '1.1')) {
      const message = `${head.method} ${head.target}: header Host occurs ${hostHeaders} times: expected once`;
      await this.refuseRequest(request, response, { kind: 'request_malformed', message });
      return;
    }
    const headerBytes = countHeaderBytes(request);
    if (headerBytes > (this.limits?.maxHeaderBytes ?? Infinity)) {
      const message = `${head.method}: the headers have ${headerBytes} bytes: expected at most ${this.limits?.maxHeaderBytes}`;
      await this.refuseRequest(request, response, { kind: 'headers_too_large', message });
      return;
    }
    const { clock, handler } = this.options;
    const received = { ...head, receivedAt: clock.now() };
    await handler.waitReady(received);
    const opened = handler.openRequest(received);
    if (!opened.ok) {
      await this.refuseRequest(request, response, opened.failure);
      return;
    }
    const { deadline, route } = opened.value;
    this.latestDeadline = Math.max(this.latestDeadline, deadline);
    const buffer = this.openBuffer(response);
    const maxBytes = Math.min(route.maxBodyBytes, this.options.buffers?.maxBodyBytes ?? Infinity);
    const body = await readBody(request, {
      ...{ maxBytes, deadline, clock, buffer },
      stopSignal: this.partsEnded.signal,
    });
    if (!body.ok) {
      await this.refuseRequest(request, response, body.failure);
      return;
    }
    const answer = await handler.handleRequest({
      ...head,
      ...opened.value,
      body: body.value,
      signal: disconnection.signal,
    });
    if (this.isStopping) this.markLastAnswer(request, response);
    this.writeAnswer(request, response, answer);
    response.end();
  }

  /** Opens a buffer that lasts until the answer was written. */
  private openBuffer(response: ServerResponse): BufferedBytes | undefined {
    // Nothing would release the buffer of a connection that is closed.
    if (response.destroyed) return undefined;
    const buffer = this.options.buffers?.openBuffer();
    if (buffer) response.once('close', () => buffer.release());
    return buffer;
  }

  // The rest of the body is discarded, so the connection can't carry another request after it.
  private async refuseRequest(
    request: IncomingMessage,
    response: ServerResponse,
    failure: Failure,
  ): Promise<void> {
    const announcesBody =
      request.headers['transfer-encoding'] !== undefined ||
      Number(request.headers['content-length'] ?? 0) !== 0;
    if (announcesBody || this.isStopping) this.markLastAnswer(request, response);
    const head = { headers: readHeaders(request) };
    this.writeAnswer(request, response, this.options.handler.refuseRequest(failure, head));
    if (announcesBody && !request.complete) {
      const bodyEnded = new AbortController();
      ['end', 'close'].forEach((event) => request.once(event, () => bodyEnded.abort()));
      dropBody(request);
      await this.options.clock.sleepUntil(this.options.clock.now() + discardMs, bodyEnded.signal);
    }
    response.end();
  }

  private markLastAnswer(request: IncomingMessage, response: ServerResponse): void {
    if (this.connections.markLastAnswer(request.socket, response)) response.shouldKeepAlive = false;
  }

  // Ends the body by closing the connection: a content-length would claim that the body is
  // complete, which the host can't determine. Returns false when the caller has pipelined another
  // request, which closing the connection would abort.
  private markUnframed(request: IncomingMessage, response: ServerResponse): boolean {
    if (!this.connections.markLastAnswer(request.socket, response)) return false;
    response.shouldKeepAlive = false;
    response.useChunkedEncodingByDefault = false;
    return true;
  }

  private writeAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    answer: CallerAnswer,
  ): void {
    const hasContent = mayHaveBody(request.method, answer.status);
    const isUnframed =
      hasContent && (answer.isUnframed ?? false) && this.markUnframed(request, response);
    const requestHeaders = readHeaders(request);
    const headers = [
      ...answer.headers.flat(),
      ...(hasContent && !isUnframed ? ['content-length', String(answer.body.byteLength)] : []),
      ...this.dialect.createCallerHeaders(answer, this.options.clock.now(), requestHeaders).flat(),
    ];
    response.writeHead(answer.status, headers);
    if (!hasContent) return;
    // A caller that reads slowly must not keep the memory that others need.
    const buffer = this.openBuffer(response);
    buffer?.setDropHandler(() => {
      this.options.log.warn('requests: closing the connection of a caller, for want of memory', {
        requestId: this.dialect.findRequestId(requestHeaders),
        unreadBytes: answer.body.byteLength,
      });
      response.destroy();
    });
    buffer?.addBytes(answer.body.byteLength);
    response.write(answer.body);
  }
}
