import type { Duplex } from 'node:stream';

import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import errorAnswers from '../../domain/errors/errorAnswers.ts';
import createFailureAnswer from '../../application/requests/createFailureAnswer.ts';
import endSocket from './endSocket.ts';

type ClientErrorKind = Extract<
  ErrorKind,
  'request_malformed' | 'request_timeout' | 'headers_too_large'
>;

const kinds: Readonly<Record<string, ClientErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headers_too_large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request_timeout',
};

const reasonPhrases: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

/**
 * Answers a request that Node.js could not parse or did not receive in time, then closes the
 * connection.
 */
export default function writeClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const kind = kinds[error.code ?? ''] ?? 'request_malformed';
  const { status } = errorAnswers[kind];
  const { body, outcome } = createFailureAnswer({ kind, message: `request: ${error.message}` });
  const head = [
    `HTTP/1.1 ${status} ${reasonPhrases[status] ?? 'Error'}`,
    'content-type: application/json',
    `content-length: ${body.byteLength}`,
    `pistachiohoist-outcome: ${outcome}`,
    `pistachiohoist-error: ${kind}`,
    'connection: close',
  ].join('\r\n');
  endSocket(socket, Buffer.concat([Buffer.from(`${head}\r\n\r\n`), body]));
}
