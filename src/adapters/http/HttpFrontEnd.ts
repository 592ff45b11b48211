import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';

import type Failure from '../../domain/errors/Failure.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';
import createFailureAnswer from '../../application/requests/createFailureAnswer.ts';
import type { CallerAnswer } from '../../application/requests/CallerRequest.ts';
import type RequestHandler from '../../application/requests/RequestHandler.ts';
import type Log from '../../ports/Log.ts';
import closeServer from './closeServer.ts';
import openServer from './openServer.ts';
import readBody from './readBody.ts';
import writeClientError from './writeClientError.ts';

const maxHeaderBytes = 16_384;
// Longer than the idle timeout of common load balancers (60 s), so that they close first.
const keepAliveTimeoutMs = 75_000;

type Header = readonly [string, string];

function readHeaders(request: IncomingMessage): Header[] {
  const texts = request.rawHeaders;
  return texts
    .filter((_, index) => index % 2 === 0)
    .map((name, index) => [name.toLowerCase(), texts[2 * index + 1] ?? ''] as const);
}

/** Accepts callers' HTTP requests and writes their answers. */
export default class HttpFrontEnd {
  private readonly handler: RequestHandler;

  private readonly log: Log;

  private readonly server: Server;

  private isStopping = false;

  constructor(options: { readonly handler: RequestHandler; readonly log: Log }) {
    this.handler = options.handler;
    this.log = options.log;
    this.server = createServer(
      { maxHeaderSize: maxHeaderBytes, keepAliveTimeout: keepAliveTimeoutMs },
      (request, response) => {
        this.serveRequest(request, response).catch((error: Error) => {
          this.log.error('requests: serving failed', { error: error.message });
          response.destroy();
        });
      },
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) =>
      writeClientError(error, socket),
    );
  }

  openListener(address: ListenAddress): Promise<void> {
    return openServer(this.server, address, 'listen.callers');
  }

  /** The address that the listener got; tests listen on port 0. */
  get address(): AddressInfo {
    return this.server.address() as AddressInfo;
  }

  /** Accepts no new connections and resolves when every open request was answered. */
  closeListener(): Promise<void> {
    this.isStopping = true;
    return closeServer(this.server);
  }

  private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const head = {
      method: request.method ?? '',
      target: request.url ?? '',
      headers: readHeaders(request),
    };
    const opened = this.handler.openRequest(head);
    if (!opened.ok) {
      this.refuseRequest(response, opened.failure);
      return;
    }
    const body = await readBody(request, opened.value.route.maxBodyBytes);
    if (!body.ok) {
      this.refuseRequest(response, body.failure);
      return;
    }
    const caller = new AbortController();
    response.once('close', () => caller.abort());
    const answer = await this.handler.handleRequest({
      ...head,
      ...opened.value,
      body: body.value,
      signal: caller.signal,
    });
    this.writeAnswer(response, answer);
  }

  // The body was not read, so the connection can't carry another request.
  private refuseRequest(response: ServerResponse, failure: Failure): void {
    response.shouldKeepAlive = false;
    this.writeAnswer(response, createFailureAnswer(failure));
  }

  private writeAnswer(response: ServerResponse, answer: CallerAnswer): void {
    if (this.isStopping) response.shouldKeepAlive = false;
    const headers = [
      ...answer.headers.flat(),
      ...['content-length', String(answer.body.byteLength)],
      ...['pistachiohoist-outcome', answer.outcome],
      ...(answer.errorKind ? ['pistachiohoist-error', answer.errorKind] : []),
    ];
    response.writeHead(answer.status, headers);
    response.end(answer.body);
  }
}
