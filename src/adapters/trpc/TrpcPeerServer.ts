import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';

import type { AnyTRPCRouter } from '@trpc/server';
import { applyWSSHandler } from '@trpc/server/adapters/ws';
import { WebSocketServer } from 'ws';

import errorAnswers from '../../domain/errors/errorAnswers.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';
import type Log from '../../ports/Log.ts';
import type ListenerConnections from '../http/ListenerConnections.ts';
import endSocket from '../http/endSocket.ts';
import openServer from '../http/openServer.ts';
import writeClientError from '../http/writeClientError.ts';
import compareKeys from './compareKeys.ts';
import peerCompression from './peerCompression.ts';

/** Largest message between peers; snapshots are sent in smaller chunks. */
export const maxPeerMessageBytes = 16_777_216;

// A peer sends its key with its first bytes; many times the longest delay of the network, in
// milliseconds.
const headersTimeout = 5000;
// How often Node.js looks for connections without a head; a small part of the timeout, in
// milliseconds.
const connectionsCheckingInterval = 500;

/** Options of the peers listener. */
export interface TrpcPeerServerOptions {
  readonly router: AnyTRPCRouter;
  readonly peerKey: string;
  readonly log: Log;
  /** Counts the connections of the listener. */
  readonly listenerConnections?: ListenerConnections;
}

/**
 * The peers listener: serves procedures over one persistent WebSocket for each peer that has the
 * peer key.
 */
export default class TrpcPeerServer {
  private readonly options: TrpcPeerServerOptions;

  private readonly server: Server;

  private readonly webSocketServer: WebSocketServer;

  constructor(options: TrpcPeerServerOptions) {
    this.options = options;
    this.webSocketServer = new WebSocketServer({
      noServer: true,
      maxPayload: maxPeerMessageBytes,
      // Takes effect on connections for which the peer requests it.
      perMessageDeflate: peerCompression,
    });
    // tRPC does not close a connection after an invalid frame, and without an `error` listener ws
    // would throw.
    this.webSocketServer.on('connection', (socket) => {
      socket.on('error', (error) => {
        options.log.warn('peers: connection failed', { error: error.message });
        socket.terminate();
      });
    });
    applyWSSHandler({
      wss: this.webSocketServer,
      router: options.router,
      createContext: ({ req }) => ({ callerName: String(req.headers['pistachiohoist-host']) }),
    });
    const timeouts = { headersTimeout, connectionsCheckingInterval };
    this.server = createServer(timeouts, (_request, response) => {
      response.writeHead(426, {
        ...{ 'content-type': 'application/json', upgrade: 'websocket', connection: 'close' },
      });
      response.end(JSON.stringify({ error: 'message_invalid', message: 'expected a WebSocket' }));
    });
    options.listenerConnections?.watchServer(this.server);
    this.server.on('upgrade', (request, socket, head) => this.acceptPeer(request, socket, head));
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) =>
      writeClientError(error, socket),
    );
  }

  openListener(address: ListenAddress): Promise<void> {
    const { log } = this.options;
    return openServer(this.server, { address, key: 'listen.peers', log });
  }

  /** The address that the listener is bound to; tests listen on port 0. */
  get address(): AddressInfo {
    return this.server.address() as AddressInfo;
  }

  /** Closes the listener and all connections. */
  closeListener(): Promise<void> {
    this.webSocketServer.clients.forEach((socket) => socket.terminate());
    this.server.closeAllConnections();
    return new Promise((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private acceptPeer(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    const authorization = request.headers.authorization ?? '';
    if (!compareKeys(authorization, `Bearer ${this.options.peerKey}`)) {
      this.options.log.warn('peers: connection refused: wrong peer key', {
        address: request.socket.remoteAddress,
      });
      const body = JSON.stringify({ error: 'unauthorized', message: 'expected the peer key' });
      endSocket(
        socket,
        `HTTP/1.1 ${errorAnswers.unauthorized.status} Unauthorized\r\n` +
          'content-type: application/json\r\nconnection: close\r\n' +
          `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
      );
      return;
    }
    this.options.listenerConnections?.markProven(request.socket);
    this.webSocketServer.handleUpgrade(request, socket, head, (peer) => {
      this.webSocketServer.emit('connection', peer, request);
    });
  }
}
