import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { AnyTRPCRouter } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';

import errorAnswers from '../../domain/errors/errorAnswers.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';
import type Log from '../../ports/Log.ts';
import closeServer from '../http/closeServer.ts';
import openServer from '../http/openServer.ts';
import compareKeys from './compareKeys.ts';
import { operatorNameExpected, operatorNamePattern } from './operatorMessages.ts';

// A preset with 50,000 routes is about 10 MB in size.
const maxBodyBytes = 16_777_216;

/** Options of the operators listener. */
export interface TrpcOperatorServerOptions {
  readonly router: AnyTRPCRouter;
  readonly operatorKey: string;
  readonly log: Log;
}

/** The operators listener: serves procedures over HTTP to operators that have the operator key. */
export default class TrpcOperatorServer {
  private readonly options: TrpcOperatorServerOptions;

  private readonly server: Server;

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
    this.server = createServer((request, response) => this.serveRequest(request, response));
  }

  /** The address that the listener is bound to, once it is open. */
  get address(): AddressInfo {
    return this.server.address() as AddressInfo;
  }

  openListener(address: ListenAddress): Promise<void> {
    const { log } = this.options;
    return openServer(this.server, { address, key: 'listen.operators', log });
  }

  /** Stops accepting calls and resolves when the open calls have finished. */
  closeListener(): Promise<void> {
    return closeServer(this.server);
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
