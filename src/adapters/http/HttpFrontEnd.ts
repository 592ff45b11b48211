import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import type { CallerAnswer } from '../../application/requests/CallerRequest.ts';
import DefaultDialect from '../../application/requests/DefaultDialect.ts';
import type RequestDialect from '../../application/requests/RequestDialect.ts';
import type { Header } from '../../application/requests/RequestDialect.ts';
import type RequestHandler from '../../application/requests/RequestHandler.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type { CallerLimits } from '../../domain/presets/Preset.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import CallerConnections from './CallerConnections.ts';
import openServer from './openServer.ts';
import readBody from './readBody.ts';
import writeClientError from './writeClientError.ts';

const defaultMaxHeaderBytes = 16_384;
// Longer than the idle timeout of common load balancers (60 s), so that they close first.
const keepAliveTimeoutMs = 75_000;
const defaultHeadersTimeoutMs = 10_000;
// How often Node.js looks for callers that send their headers too slowly.
const headersCheckMs = 500;
// Time for a refused caller to stop sending. Closing with unread bytes would reset the connection
// before the caller has read the answer.
const discardMs = 500;
// Longer than a request takes from a balancer in the same region, 8 ms one way at most.
const lingerMs = 100;
// Time for callers to read their answers after the last deadline of a stopping host.
const flushMs = 5000;

/** What the front end needs. */
export interface HttpFrontEndOptions {
  readonly handler: RequestHandler;
  readonly clock: Clock;
  readonly log: Log;
  /** Longest time for the headers of a request; 10 s unless set. */
  readonly headersTimeoutMs?: number;
  /** Largest size of the headers of a request; 16 KiB unless set. */
  readonly maxHeaderBytes?: number;
  /** The project's own dialect unless set. */
  readonly dialect?: RequestDialect;
}

function readHeaders(request: IncomingMessage): Header[] {
  const texts = request.rawHeaders;
  return texts
    .filter((_, index) => index % 2 === 0)
    .map((name, index) => [name.toLowerCase(), texts[2 * index + 1] ?? ''] as const);
}

// Each header line has a colon, a blank and two bytes that end it.
function countHeaderBytes({ url = '', rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, url.length);
}

function hasBody(method: string | undefined, status: number): boolean {
  return method !== 'HEAD' && status !== 204 && status !== 304;
}

/** Accepts callers' HTTP requests and writes their answers. */
export default class HttpFrontEnd {
  private readonly options: HttpFrontEndOptions;

  private readonly server: Server;

  private readonly connections = new CallerConnections();

  private readonly dialect: RequestDialect;

  private isStopping = false;

  private latestDeadline = 0;

  private limits: CallerLimits | undefined;

  constructor(options: HttpFrontEndOptions) {
    this.options = options;
    this.dialect = options.dialect ?? new DefaultDialect();
    this.server = createServer(
      {
        maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
        keepAliveTimeout: keepAliveTimeoutMs,
        headersTimeout: options.headersTimeoutMs ?? defaultHeadersTimeoutMs,
        connectionsCheckingInterval: headersCheckMs,
        // The request's own deadline bounds its body.
        requestTimeout: 0,
        // Checked here, so that the refusal carries its error kind.
        requireHostHeader: false,
      },
      (request, response) => {
        this.serveRequest(request, response).catch((error: Error) => {
          this.options.log.error('requests: serving failed', { error: error.message });
          response.destroy();
        });
      },
    );
    // Node.js would silently drop headers above this count; their bytes are limited already.
    this.server.maxHeadersCount = 0;
    this.server.on('connection', (socket) => this.connections.addConnection(socket));
    this.server.on('clientError', (error, socket) => this.refuseBytes(error, socket));
    this.server.on('connect', (_request, socket) =>
      this.refuseBytes(new Error('method CONNECT is not served'), socket),
    );
    this.server.on('checkExpectation', (request, response) => {
      if (!this.connections.acceptRequest(request.socket, response)) return;
      const message = `${request.method} ${request.url}: header Expect: value "${request.headers.expect}": expected 100-continue`;
      this.refuseRequest(request, response, { kind: 'request_malformed', message }).catch(() =>
        response.destroy(),
      );
    });
  }

  openListener(address: ListenAddress): Promise<void> {
    return openServer(this.server, address, 'listen.callers');
  }

  /** The address that the listener got; tests listen on port 0. */
  get address(): AddressInfo {
    return this.server.address() as AddressInfo;
  }

  /** Applies the limits of a preset to connections and requests from now on. */
  useLimits(limits: CallerLimits | undefined): void {
    this.limits = limits;
    const { headersTimeoutMs } = this.options;
    this.server.headersTimeout =
      limits?.headersTimeoutMs ?? headersTimeoutMs ?? defaultHeadersTimeoutMs;
    this.server.keepAliveTimeout = limits?.idleTimeoutMs ?? keepAliveTimeoutMs;
  }

  /** From now on the answers tell callers to close their connections. */
  startClose(): void {
    this.isStopping = true;
  }

  /**
   * Accepts no new connections and resolves when every open request was answered, at the latest
   * some seconds after the last deadline.
   */
  async closeListener(): Promise<void> {
    this.startClose();
    const closed = new AbortController();
    // The close method of http.Server destroys connections whose last answer is still being sent.
    NetServer.prototype.close.call(this.server, () => closed.abort());
    const { clock, log } = this.options;
    // A request can be on its way on a connection that looks idle or was accepted just now.
    await clock.sleepUntil(clock.now() + lingerMs, closed.signal);
    this.connections.closeIdle();
    await clock.sleepUntil(Math.max(clock.now(), this.latestDeadline) + flushMs, closed.signal);
    // Stops the interval that looks for slow headers.
    this.server.close();
    if (closed.signal.aborted) return;
    log.warn('requests: closing connections whose callers did not read their answers');
    this.connections.closeAll();
  }

  private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.connections.acceptRequest(request.socket, response)) return;
    const caller = new AbortController();
    response.once('close', () => {
      // Nobody waits for the signal of an answered request, and aborting it has a cost.
      if (!response.writableFinished) caller.abort('the caller disconnected');
    });
    const head = {
      method: request.method ?? '',
      target: request.url ?? '',
      headers: readHeaders(request),
    };
    const hosts = head.headers.filter(([name]) => name === 'host').length;
    if (hosts > 1 || (hosts === 0 && request.httpVersion === '1.1')) {
      const message = `${head.method} ${head.target}: header Host is given ${hosts} times: expected once`;
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
    const body = await readBody(request, { maxBytes: route.maxBodyBytes, deadline, clock });
    if (!body.ok) {
      await this.refuseRequest(request, response, body.failure);
      return;
    }
    const answer = await handler.handleRequest({
      ...head,
      ...opened.value,
      body: body.value,
      signal: caller.signal,
    });
    if (this.isStopping) this.markLast(request, response);
    this.writeAnswer(request, response, answer);
    response.end();
  }

  // A caller would take an error for the answer to a request that is still open.
  private refuseBytes(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (this.connections.hasOpenRequest(socket as Socket)) socket.destroy();
    else writeClientError(error, socket);
  }

  // The rest of a body is not wanted, so the connection can't carry another request after it.
  private async refuseRequest(
    request: IncomingMessage,
    response: ServerResponse,
    failure: Failure,
  ): Promise<void> {
    const announcesBody =
      request.headers['transfer-encoding'] !== undefined ||
      Number(request.headers['content-length'] ?? 0) !== 0;
    if (announcesBody || this.isStopping) this.markLast(request, response);
    const head = { headers: readHeaders(request) };
    this.writeAnswer(request, response, this.options.handler.refuseRequest(failure, head));
    if (announcesBody && !request.complete) {
      const ended = new AbortController();
      ['end', 'close'].forEach((event) => request.once(event, () => ended.abort()));
      request.resume();
      await this.options.clock.sleepUntil(this.options.clock.now() + discardMs, ended.signal);
    }
    response.end();
  }

  private markLast(request: IncomingMessage, response: ServerResponse): void {
    if (this.connections.markLast(request.socket, response)) response.shouldKeepAlive = false;
  }

  // A length would say that the body is whole, which nobody knows. With another request pipelined
  // behind it, closing the connection would cut that one off.
  private markUnframed(request: IncomingMessage, response: ServerResponse): boolean {
    if (!this.connections.markLast(request.socket, response)) return false;
    response.shouldKeepAlive = false;
    response.useChunkedEncodingByDefault = false;
    return true;
  }

  private writeAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    answer: CallerAnswer,
  ): void {
    const isBodied = hasBody(request.method, answer.status);
    const isUnframed =
      isBodied && (answer.isUnframed ?? false) && this.markUnframed(request, response);
    const headers = [
      ...answer.headers.flat(),
      ...(isBodied && !isUnframed ? ['content-length', String(answer.body.byteLength)] : []),
      ...this.dialect.createCallerHeaders(answer, this.options.clock.now()).flat(),
    ];
    response.writeHead(answer.status, headers);
    if (isBodied) response.write(answer.body);
  }
}
