import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type AnnouncementService from '../../application/membership/AnnouncementService.ts';
import createFailureAnswer from '../../application/requests/createFailureAnswer.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type { HostStateName } from '../../domain/membership/HostRecord.ts';
import type BufferBudget from '../../domain/requests/BufferBudget.ts';
import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type MetricsSource from '../../ports/MetricsSource.ts';
import type ListenerConnections from './ListenerConnections.ts';
import closeServer from './closeServer.ts';
import createHttpServer from './createHttpServer.ts';
import type { HttpServer } from './createHttpServer.ts';
import openServer from './openServer.ts';
import parseAnnouncement from './parseAnnouncement.ts';
import readBody from './readBody.ts';

const maxAnnouncementBytes = 4096;
const requestTimeoutMs = 5000;
// The last step of a stop, shortly before the platform kills the process. A probe that is cut off
// tells what its answer would: the host stops.
const closeMs = 50;

/** Options of the platform listener. */
export interface PlatformFrontEndOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: MetricsSource;
  /** State of this host; `/ready` answers 200 only in `ready`. */
  readonly readState: () => HostStateName;
  /** Set on entry hosts that accept announcements of upstreams. */
  readonly announcements?: AnnouncementService;
  /** Counts the connections of the listener. */
  readonly listenerConnections?: ListenerConnections;
  /** Memory of the connections; unless set, there is no limit. */
  readonly budget?: BufferBudget;
}

/** Serves health and readiness probes, metrics and the announcements of upstreams. */
export default class PlatformFrontEnd {
  private readonly options: PlatformFrontEndOptions;

  private readonly http: HttpServer;

  constructor(options: PlatformFrontEndOptions) {
    this.options = options;
    this.http = createHttpServer({
      server: { requestTimeout: requestTimeoutMs },
      clock: options.clock,
      log: options.log,
      failureMessage: 'membership: a request to the platform listener failed',
      listenerConnections: options.listenerConnections,
      budget: options.budget,
      serve: (request, response) => this.serveRequest(request, response),
    });
  }

  openListener(address: ListenAddress): Promise<void> {
    const { log } = this.options;
    return openServer(this.http.server, { address, key: 'listen.platform', log });
  }

  /** The address that the listener is bound to; tests listen on port 0. */
  get address(): AddressInfo {
    return this.http.server.address() as AddressInfo;
  }

  /** Stops accepting connections and resolves when the open requests are answered, or shortly. */
  async closeListener(): Promise<void> {
    const { clock } = this.options;
    const deadline = clock.now() + closeMs;
    await closeServer({ ...this.http, clock, readDeadline: () => deadline });
  }

  private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [path = ''] = (request.url ?? '').split('?', 1);
    const call = `${request.method} ${path}`;
    if (call === 'GET /health') this.writeText(response, 'ok\n');
    else if (call === 'GET /ready') this.writeReadiness(response);
    else if (call === 'GET /metrics') {
      this.writeText(response, await this.options.metrics.renderMetrics());
    } else if (call === 'POST /announce' && this.options.announcements) {
      await this.serveAnnouncement(request, response, this.options.announcements);
    } else {
      response.shouldKeepAlive = false;
      this.writeFailure(response, {
        kind: 'route_unknown',
        message: `${call}: expected GET /health, GET /ready, GET /metrics, or POST /announce on an entry host`,
      });
    }
  }

  private async serveAnnouncement(
    request: IncomingMessage,
    response: ServerResponse,
    announcements: AnnouncementService,
  ): Promise<void> {
    const { clock } = this.options;
    const body = await readBody(request, {
      maxBytes: maxAnnouncementBytes,
      deadline: clock.now() + requestTimeoutMs,
      clock,
    });
    if (!body.ok) {
      response.shouldKeepAlive = false;
      this.writeFailure(response, body.failure);
      return;
    }
    const announcement = parseAnnouncement(body.value);
    const accepted = announcement.ok
      ? announcements.acceptAnnouncement(announcement.value)
      : announcement;
    if (!accepted.ok) {
      this.writeFailure(response, accepted.failure);
      return;
    }
    const leaseDeadline = Math.floor(accepted.value.leaseDeadline);
    const text = JSON.stringify({ lease_deadline: leaseDeadline });
    response.writeHead(200, { 'content-type': 'application/json' }).end(text);
  }

  private writeReadiness(response: ServerResponse): void {
    const state = this.options.readState();
    if (state === 'ready') this.writeText(response, 'ready\n');
    else if (state === 'starting') {
      this.writeFailure(response, {
        kind: 'host_not_ready',
        message: 'GET /ready: this host is still starting',
      });
    } else {
      this.writeFailure(response, {
        kind: 'host_stopping',
        message: 'GET /ready: this host is stopping',
      });
    }
  }

  private writeText(response: ServerResponse, text: string): void {
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' });
    response.end(text);
  }

  private writeFailure(response: ServerResponse, failure: Failure): void {
    const answer = createFailureAnswer(failure);
    response.writeHead(answer.status, {
      ...Object.fromEntries(answer.headers),
      'content-length': answer.body.byteLength,
      'pistachiohoist-error': failure.kind,
    });
    response.end(answer.body);
  }
}
