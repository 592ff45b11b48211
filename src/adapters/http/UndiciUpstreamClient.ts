import { Agent } from 'undici';

import DefaultDialect from '../../application/requests/DefaultDialect.ts';
import type RequestDialect from '../../application/requests/RequestDialect.ts';
import type BufferBudget from '../../domain/requests/BufferBudget.ts';
import type Clock from '../../ports/Clock.ts';
import type ConnectionSource from '../../ports/ConnectionSource.ts';
import type UpstreamClient from '../../ports/UpstreamClient.ts';
import type { UpstreamRequest, UpstreamResult } from '../../ports/UpstreamClient.ts';
import createConnector from './createConnector.ts';
import ExchangeDeadlines from './ExchangeDeadlines.ts';
import KeptConnections from './KeptConnections.ts';
import OpenedConnections from './OpenedConnections.ts';
import UpstreamExchange from './UpstreamExchange.ts';

const defaultConnectTimeoutMs = 1000;
// Below the 5 s after which Node.js servers close an idle connection by default.
const keepAliveTimeoutMs = 4000;
// Upper bound on the timeout that an upstream announces in its Keep-Alive header.
const maxKeepAliveMs = 60_000;

/** Options of the client. */
export interface UndiciUpstreamClientOptions {
  readonly clock: Clock;
  readonly connectionsPerUpstream: number;
  /** Maximum time to open a connection, in milliseconds; 1 s unless set. */
  readonly connectTimeoutMs?: number;
  /** The default dialect unless set. */
  readonly dialect?: RequestDialect;
  /** Limits the memory of all answers; unless set, there is no limit. */
  readonly buffers?: BufferBudget;
}

/**
 * Sends requests with undici, one at a time on each connection. Connections are kept alive, except
 * those of requests that must not be repeated.
 */
export default class UndiciUpstreamClient implements UpstreamClient, ConnectionSource {
  private readonly clock: Clock;

  private readonly dialect: RequestDialect;

  private readonly buffers: BufferBudget | undefined;

  private readonly kept = new KeptConnections();

  private readonly keepAliveAgent: Agent;

  private readonly singleUseAgent: Agent;

  private readonly deadlines: ExchangeDeadlines;

  private readonly opened = new OpenedConnections();

  /** Requests of which at least a part may have been sent. */
  private sent = 0;

  constructor(options: UndiciUpstreamClientOptions) {
    this.clock = options.clock;
    this.dialect = options.dialect ?? new DefaultDialect();
    this.buffers = options.buffers;
    this.deadlines = new ExchangeDeadlines(options.clock);
    const shared = {
      connections: options.connectionsPerUpstream,
      connect: createConnector(options.connectTimeoutMs ?? defaultConnectTimeoutMs, (socket) =>
        this.opened.addConnection(socket),
      ),
      // The deadline of the request bounds both.
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    this.keepAliveAgent = new Agent({
      ...shared,
      factory: (origin, poolOptions) => this.kept.createPool(origin, poolOptions),
      pipelining: 1,
      keepAliveTimeout: keepAliveTimeoutMs,
      keepAliveMaxTimeout: maxKeepAliveMs,
    });
    // With pipelining 0, undici closes each connection after one request.
    this.singleUseAgent = new Agent({ ...shared, pipelining: 0 });
  }

  /** Number of connections that were opened. */
  get openedCount(): number {
    return this.opened.openedCount;
  }

  /** Number of requests that were sent on a connection that had carried another one. */
  get reusedCount(): number {
    return Math.max(0, this.sent - this.opened.usedCount);
  }

  /** Number of connections that are open and not in use. */
  get idleCount(): number {
    return this.kept.idleCount;
  }

  hasIdleConnection(address: string): boolean {
    return this.kept.hasIdle(`http://${address}`);
  }

  async sendRequest(request: UpstreamRequest): Promise<UpstreamResult> {
    if (request.signal.aborted) return { kind: 'not_sent', reason: 'cancelled' };
    if (this.clock.now() >= request.deadline) {
      return { kind: 'not_sent', reason: 'deadline_passed' };
    }
    const exchange = new UpstreamExchange({
      ...{ request, clock: this.clock, dialect: this.dialect, buffers: this.buffers },
      onDispatch: () => {
        this.sent += 1;
      },
    });
    const onCancel = (): void => exchange.cancelExchange('cancelled');
    request.signal.addEventListener('abort', onCancel, { once: true });
    this.deadlines.addExchange(exchange);
    const agent = request.mayRepeat ? this.keepAliveAgent : this.singleUseAgent;
    agent.dispatch(
      {
        origin: `http://${request.address}`,
        method: request.method,
        path: request.path,
        headers: this.buildHeaders(request),
        body: request.body.byteLength > 0 ? request.body : null,
      },
      exchange,
    );
    const result = await exchange.result;
    request.signal.removeEventListener('abort', onCancel);
    this.deadlines.removeExchange(exchange);
    return result;
  }

  setLatestDeadline(deadline: number): void {
    this.deadlines.setLatest(deadline);
  }

  async close(): Promise<void> {
    await Promise.all([this.keepAliveAgent.close(), this.singleUseAgent.close()]);
    await this.deadlines.close();
  }

  private buildHeaders(request: UpstreamRequest): string[] {
    const { requestId, upstream, team, deadline } = request;
    const head = { requestId, upstream, team, deadline, now: this.clock.now() };
    return [...request.headers, ...this.dialect.createUpstreamHeaders(head)].flat();
  }
}
