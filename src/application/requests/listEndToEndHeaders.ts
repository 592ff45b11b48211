import type { Header } from './RequestDialect.ts';

// Hop-by-hop headers (RFC 9110, section 7.6.1), and the Content-Length, which is set again with the
// body.
const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/** Lists the forwarded headers: all but hop-by-hop headers and those reserved by the fleet. */
export default function listEndToEndHeaders(
  headers: readonly Header[],
  reservedHeaders: ReadonlySet<string>,
): readonly Header[] {
  const connectionOptions = headers
    .filter(([name]) => name === 'connection')
    .flatMap(([, value]) => value.split(',').map((item) => item.trim().toLowerCase()));
  return headers.filter(
    ([name]) =>
      !connectionHeaders.has(name) &&
      !reservedHeaders.has(name) &&
      !connectionOptions.includes(name),
  );
}
