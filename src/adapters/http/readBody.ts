import type { IncomingMessage } from 'node:http';

import type Result from '../../domain/errors/Result.ts';

/** Reads the whole body of a request; refuses it past the limit and when the caller breaks off. */
export default async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Uint8Array>> {
  const call = `${request.method} ${request.url}`;
  const tooLarge = {
    ok: false,
    failure: {
      kind: 'body_too_large',
      message: `${call}: the body is too large: expected at most ${maxBytes} bytes`,
    },
  } as const;
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return tooLarge;
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      const bytes = chunk as Buffer;
      size += bytes.byteLength;
      if (size > maxBytes) return tooLarge;
      chunks.push(bytes);
    }
  } catch {
    const message = `${call}: the caller closed the connection before the body was whole`;
    return { ok: false, failure: { kind: 'request_malformed', message } };
  }
  return { ok: true, value: Buffer.concat(chunks) };
}
