import type { Dispatcher } from 'undici';

import DefaultDialect from '../../application/requests/DefaultDialect.ts';
import type RequestDialect from '../../application/requests/RequestDialect.ts';
import type BufferBudget from '../../domain/requests/BufferBudget.ts';
import type BufferedBytes from '../../domain/requests/BufferedBytes.ts';
import type Clock from '../../ports/Clock.ts';
import type {
  NotSentReason,
  SentFailure,
  UpstreamRequest,
  UpstreamResult,
} from '../../ports/UpstreamClient.ts';
import BodyCollector from './BodyCollector.ts';

// Codes of the errors with which undici rejects an invalid request before it opens a connection.
const malformedCodes: ReadonlySet<string> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);

// RFC 9110, section 15: codes outside this range are invalid; those below 200 are informational.
const minStatus = 100;
const minFinalStatus = 200;
const maxStatus = 599;

type CancelReason = 'cancelled' | 'timed_out';

/**
 * Handles the events of one request on its connection until its answer is complete or has failed.
 */
export default class UpstreamExchange implements Dispatcher.DispatchHandler {
  readonly result: Promise<UpstreamResult>;

  private resolveResult: (result: UpstreamResult) => void = () => undefined;

  private readonly request: UpstreamRequest;

  private readonly clock: Clock;

  private readonly dialect: RequestDialect;

  private controller: Dispatcher.DispatchController | undefined;

  private isDispatched = false;

  private isFinished = false;

  private status = 0;

  private headers: (readonly [string, string])[] = [];

  private expectedBytes: number | undefined;

  private readonly collector = new BodyCollector();

  private readonly buffer: BufferedBytes | undefined;

  private readonly onDispatch: (() => void) | undefined;

  constructor(options: {
    readonly request: UpstreamRequest;
    readonly clock: Clock;
    /** The default dialect unless set. */
    readonly dialect?: RequestDialect;
    /** Limits the memory of all answers; unless set, there is no limit. */
    readonly buffers?: BufferBudget | undefined;
    /** Called right before the first byte is sent. */
    readonly onDispatch?: () => void;
  }) {
    this.request = options.request;
    this.dialect = options.dialect ?? new DefaultDialect();
    this.clock = options.clock;
    this.onDispatch = options.onDispatch;
    this.buffer = options.buffers?.openBuffer();
    this.buffer?.setDropHandler(() => this.failAnswer('dropped'));
    this.result = new Promise((resolve) => {
      this.resolveResult = resolve;
    });
  }

  /** Cancels the exchange and closes its connection. */
  cancelExchange(reason: CancelReason): void {
    if (this.isDispatched) this.failAnswer(reason);
    else this.refuseDispatch(reason === 'cancelled' ? 'cancelled' : 'deadline_passed');
  }

  /** Instant of the first check of the deadlines. */
  get firstCheckAt(): number {
    const { deadline, overdueAt = Infinity } = this.request;
    return Math.min(deadline, overdueAt);
  }

  /**
   * Ends the exchange at its deadline; before that, reports that it is overdue. Returns the instant
   * of the next check.
   */
  checkDeadline(): number {
    const { deadline, onOverdue } = this.request;
    if (this.clock.now() < deadline) {
      onOverdue?.();
      return deadline;
    }
    this.cancelExchange('timed_out');
    return Infinity;
  }

  // undici calls this method synchronously right before it writes the request to the socket, also
  // when the request has waited in undici's queue. A second call would write the request again.
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isDispatched) this.failAnswer('reset');
    else if (this.isFinished)
      controller.abort(new Error('the request was cancelled before it was sent'));
    else if (this.clock.now() >= this.request.deadline) this.refuseDispatch('deadline_passed');
    else if (!this.request.mayDispatch()) this.refuseDispatch('forbidden');
    else {
      this.isDispatched = true;
      this.onDispatch?.();
    }
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status >= minStatus && status < minFinalStatus) return;
    this.status = status;
    if (status < minStatus || status > maxStatus) {
      this.failAnswer('invalid_status');
      return;
    }
    this.headers = this.readHeaders(controller.rawHeaders as Buffer[]);
    const length = this.findHeader('content-length');
    this.expectedBytes = length === undefined ? undefined : Number(length);
    const { requestId, echoRequestId } = this.request;
    const head = { status, headers: this.headers };
    if (echoRequestId && !this.dialect.isAnswerTo(requestId, head)) this.failAnswer('mismatched');
    // An answer with status 304 has no body; undici would wait for as many bytes as its
    // content-length states and fail the answer.
    if (this.isFinished) return;
    if (!this.mayHaveBody()) this.endAnswer();
    else if ((this.expectedBytes ?? 0) > this.request.maxAnswerBytes) this.failAnswer('too_large');
    // A body with neither a length nor chunked coding ends with the connection.
    else if (length === undefined && !this.isChunked() && !this.dialect.mayEndByClose) {
      this.failAnswer('truncated');
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isFinished) return;
    const { memoryBytes } = this.collector;
    this.collector.addChunk(chunk);
    if (this.collector.size > this.request.maxAnswerBytes) this.failAnswer('endless');
    else if (this.collector.memoryBytes > memoryBytes) {
      this.buffer?.addBytes(this.collector.memoryBytes - memoryBytes);
    }
  }

  onResponseEnd(): void {
    if (this.isFinished) return;
    const hasLengthMismatch =
      this.expectedBytes !== undefined && this.collector.size !== this.expectedBytes;
    if (hasLengthMismatch) this.failAnswer('truncated');
    else this.endAnswer();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (!this.isDispatched) {
      const isMalformed = malformedCodes.has((error as NodeJS.ErrnoException).code ?? '');
      this.endExchange({ kind: 'not_sent', reason: isMalformed ? 'malformed' : 'unreachable' });
    } else if (this.status === 0) {
      this.endExchange({ kind: 'failed', reason: 'reset' });
    } else {
      this.endExchange({ kind: 'failed', reason: 'truncated' });
    }
  }

  // RFC 9112, section 6.3: only a final chunked coding delimits the body of a response.
  private isChunked(): boolean {
    const codings = this.headers
      .filter(([name]) => name === 'transfer-encoding')
      .flatMap(([, value]) => value.split(','));
    return codings.at(-1)?.trim().toLowerCase() === 'chunked';
  }

  private mayHaveBody(): boolean {
    return this.request.method !== 'HEAD' && this.status !== 204 && this.status !== 304;
  }

  private readHeaders(rawHeaders: readonly Buffer[]): (readonly [string, string])[] {
    const texts = rawHeaders.map((item) => item.toString('latin1'));
    return texts
      .filter((_, index) => index % 2 === 0)
      .map((name, index) => [name.toLowerCase(), texts[2 * index + 1] ?? ''] as const);
  }

  private findHeader(wanted: string): string | undefined {
    return this.headers.find(([name]) => name === wanted)?.[1];
  }

  private endAnswer(): void {
    const answer = {
      status: this.status,
      headers: this.headers,
      body: this.collector.takeBody(),
      isUnframed: this.mayHaveBody() && this.expectedBytes === undefined && !this.isChunked(),
    };
    this.endExchange({ kind: 'answered', answer });
  }

  private refuseDispatch(reason: NotSentReason): void {
    this.endExchange({ kind: 'not_sent', reason });
    this.controller?.abort(new Error(`the request was not sent: ${reason}`));
  }

  private failAnswer(reason: SentFailure): void {
    this.endExchange({ kind: 'failed', reason });
    this.controller?.abort(new Error(`the answer was rejected: ${reason}`));
  }

  private endExchange(result: UpstreamResult): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.buffer?.release();
    this.collector.drop();
    this.resolveResult(result);
  }
}
