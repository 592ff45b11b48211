import type { IncomingMessage } from 'node:http';

import type Result from '../../domain/errors/Result.ts';
import type BufferedBytes from '../../domain/requests/BufferedBytes.ts';
import type Clock from '../../ports/Clock.ts';
import BodyCollector from './BodyCollector.ts';
import { markBodyRead } from './dropBody.ts';

type Refusal =
  'body_too_large' | 'deadline_passed' | 'host_overloaded' | 'host_stopping' | 'request_malformed';

/** Limits for the body of a request. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time by which the body must be complete. */
  readonly deadline: number;
  readonly clock: Clock;
  /** Counts the bytes of the body, which is given up when the buffer is dropped. */
  readonly buffer?: BufferedBytes | undefined;
  /** Aborts when the host stops and no longer waits for the rest of the body. */
  readonly stopSignal?: AbortSignal;
}

// RFC 9112, section 6.3: a request with neither header has no body.
function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/**
 * Reads the complete body of a request. Fails when the body exceeds the limits or the caller
 * disconnects; a failure leaves the connection open for the answer.
 */
export default async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Uint8Array>> {
  if (!hasBody(request)) {
    request.resume();
    return { ok: true, value: new Uint8Array() };
  }
  const details: Readonly<Record<Refusal, string>> = {
    body_too_large: `the body is too large: expected at most ${limits.maxBytes} bytes`,
    host_stopping: 'this host stops and the body is not complete',
    host_overloaded: 'this host keeps too many bytes of requests and answers',
    deadline_passed: 'the deadline passed before the body was complete',
    request_malformed: 'the caller closed the connection before the body was complete',
  };
  const refuse = (kind: Refusal): Result<Uint8Array> => ({
    ok: false,
    failure: { kind, message: `${request.method} ${request.url}: ${details[kind]}` },
  });
  if (Number(request.headers['content-length'] ?? 0) > limits.maxBytes) {
    return refuse('body_too_large');
  }
  const { stopSignal } = limits;
  const bodyEnded = new AbortController();
  const collector = new BodyCollector();
  const result = await new Promise<Result<Uint8Array>>((resolve) => {
    limits.buffer?.setDropHandler(() => resolve(refuse('host_overloaded')));
    request.on('data', (chunk: Buffer) => {
      markBodyRead(request);
      const { memoryBytes } = collector;
      if (collector.size + chunk.byteLength > limits.maxBytes) resolve(refuse('body_too_large'));
      else collector.addChunk(chunk);
      if (collector.memoryBytes > memoryBytes) {
        limits.buffer?.addBytes(collector.memoryBytes - memoryBytes);
      }
    });
    request.once('end', () => {
      limits.buffer?.markKept();
      resolve({ ok: true, value: collector.takeBody() });
    });
    request.once('error', () => resolve(refuse('request_malformed')));
    request.once('close', () => resolve(refuse('request_malformed')));
    const refuseStopping = (): void => resolve(refuse('host_stopping'));
    if (stopSignal?.aborted) refuseStopping();
    stopSignal?.addEventListener('abort', refuseStopping, { once: true, signal: bodyEnded.signal });
    limits.clock
      .sleepUntil(limits.deadline, bodyEnded.signal)
      .then(() => resolve(refuse('deadline_passed')))
      .catch(() => undefined);
  });
  // Without a reason, abort creates an error with a stack trace, at a cost for each request.
  bodyEnded.abort('the body ended');
  request.removeAllListeners('data');
  collector.drop();
  return result;
}
