import type { Header } from './RequestDialect.ts';

// RFC 9110, section 7.6.1; the length is written anew with the body.
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

/** The headers that pass through a proxy: all but those of one connection and the fleet's own. */
export default function listEndToEndHeaders(
  headers: readonly Header[],
  reservedHeaders: ReadonlySet<string>,
): readonly Header[] {
  const named = headers
    .filter(([name]) => name === 'connection')
    .flatMap(([, value]) => value.split(',').map((item) => item.trim().toLowerCase()));
  return headers.filter(
    ([name]) => !connectionHeaders.has(name) && !reservedHeaders.has(name) && !named.includes(name),
  );
}
