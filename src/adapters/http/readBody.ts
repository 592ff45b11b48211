import type { IncomingMessage } from 'node:http';

import type Result from '../../domain/errors/Result.ts';
import type Clock from '../../ports/Clock.ts';

type Refusal = 'body_too_large' | 'deadline_passed' | 'request_malformed';

/** Limits for the body of a request. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time by which the body must be complete. */
  readonly deadline: number;
  readonly clock: Clock;
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
  const bodyEnded = new AbortController();
  const chunks: Buffer[] = [];
  let size = 0;
  const result = await new Promise<Result<Uint8Array>>((resolve) => {
    request.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size > limits.maxBytes) resolve(refuse('body_too_large'));
      else chunks.push(chunk);
    });
    request.once('end', () => resolve({ ok: true, value: Buffer.concat(chunks) }));
    request.once('error', () => resolve(refuse('request_malformed')));
    request.once('close', () => resolve(refuse('request_malformed')));
    limits.clock
      .sleepUntil(limits.deadline, bodyEnded.signal)
      .then(() => resolve(refuse('deadline_passed')))
      .catch(() => undefined);
  });
  // Without a reason, abort creates an error with a stack trace, at a cost for each request.
  bodyEnded.abort('the body ended');
  request.removeAllListeners('data');
  return result;
}
