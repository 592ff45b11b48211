// RFC 9110, section 7.6.1, and the headers that this fleet sets itself.
const droppedHeaders: ReadonlySet<string> = new Set([
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
  'pistachiohoist-request-id',
  'pistachiohoist-deadline',
  'pistachiohoist-outcome',
  'pistachiohoist-error',
  'pistachiohoist-load',
]);

type Header = readonly [string, string];

/** The headers that pass through a proxy: all but those of one connection and the fleet's own. */
export default function listEndToEndHeaders(headers: readonly Header[]): readonly Header[] {
  const named = headers
    .filter(([name]) => name === 'connection')
    .flatMap(([, value]) => value.split(',').map((item) => item.trim().toLowerCase()));
  return headers.filter(([name]) => !droppedHeaders.has(name) && !named.includes(name));
}
