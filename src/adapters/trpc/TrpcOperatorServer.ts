import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { AnyTRPCRouter } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';

import errorAnswers from '../../domain/errors/errorAnswers.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import closeServer from '../http/closeServer.ts';
import createHttpServer from '../http/createHttpServer.ts';
import type { HttpServer } from '../http/createHttpServer.ts';
import openServer from '../http/openServer.ts';
import compareKeys from './compareKeys.ts';
import { operatorNameExpected, operatorNamePattern } from './operatorMessages.ts';

// A preset with 50,000 routes is about 10 MB in size.
const maxBodyBytes = 16_777_216;
// Operators' tools wait for an answer for this time (`callTimeoutMs` of TrpcOperatorClient).
const closeMs = 5000;

/** Options of the operators listener. */
export interface TrpcOperatorServerOptions {
  readonly router: AnyTRPCRouter;
  readonly operatorKey: string;
  readonly clock: Clock;
  readonly log: Log;
}

/** The operators listener: serves procedures over HTTP to operators that have the operator key. */
export default class TrpcOperatorServer {
  private readonly options: TrpcOperatorServerOptions;

  private readonly http: HttpServer;

  private readonly handler: RequestListener;

  constructor(options: TrpcOperatorServerOptions) {
    this.options = options;
    this.handler = createHTTPHandler({
      router: options.router,
      createContext: ({ req }) => ({
        callerName: String(req.headers['pistachiohoist-operator']),
      }),
      maxBodySize: maxBodyBytes,
      onError: ({ path, error }) => {
        options.log.warn('presets: operator call failed', { path, error: error.message });
      },
    });
    this.http = createHttpServer({
      server: {},
      clock: options.clock,
      log: options.log,
      failureMessage: 'presets: handling an operator call failed',
      serve: async (request, response) => this.serveRequest(request, response),
    });
  }

  /** The address that the listener is bound to, once it is open. */
  get address(): AddressInfo {
    return this.http.server.address() as AddressInfo;
  }

  openListener(address: ListenAddress): Promise<void> {
    const { log } = this.options;
    return openServer(this.http.server, { address, key: 'listen.operators', log });
  }

  /** Stops accepting calls and resolves when the open calls have finished, or after `closeMs`. */
  async closeListener(): Promise<void> {
    const { clock } = this.options;
    const deadline = clock.now() + closeMs;
    await closeServer({ ...this.http, clock, readDeadline: () => deadline });
  }

  private serveRequest(request: IncomingMessage, response: ServerResponse): void {
    const authorization = request.headers.authorization ?? '';
    if (!compareKeys(authorization, `Bearer ${this.options.operatorKey}`)) {
      this.options.log.warn('presets: operator call refused: wrong operator key', {
        address: request.socket.remoteAddress,
      });
      this.refuseRequest(response, 'unauthorized', 'expected the operator key');
      return;
    }
    const name = request.headers['pistachiohoist-operator'];
    if (typeof name !== 'string' || !operatorNamePattern.test(name)) {
      this.refuseRequest(
        response,
        'message_invalid',
        `pistachiohoist-operator: ${operatorNameExpected}`,
      );
      return;
    }
    this.handler(request, response);
  }

  private refuseRequest(
    response: ServerResponse,
    kind: 'unauthorized' | 'message_invalid',
    message: string,
  ): void {
    response.writeHead(errorAnswers[kind].status, {
      'content-type': 'application/json',
      connection: 'close',
    });
    response.end(JSON.stringify({ error: kind, message }));
  }
}
