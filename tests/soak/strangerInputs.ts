import type { StrangerInput } from './SoakPlan.ts';

const manyRequests = 50;
const manyFields = 3000;

/** Creates the head of a request; `fields` end with a line end each. */
export function createHead(line: string, id: string, fields = ''): string {
  return `${line} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: ${id}\r\nx-time-budget-ms: 3000\r\n${fields}\r\n`;
}

const webSocketFields =
  'connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n' +
  'sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n';

/** Creates the bytes of each input, as latin1; requests among them carry the id. */
const strangerInputs: Readonly<Record<StrangerInput, (id: string) => string>> = {
  nothing: () => '',
  bytes: () => '\x16\x03\x01\x02\x00\x01\xfc\x03\x03\xff\xfe\r\n\r\n',
  half_head: (id) => createHead('GET /look/1', id).slice(0, -10),
  half_body: (id) => `${createHead('POST /book/1', id, 'content-length: 100\r\n')}half`,
  unknown_expectation: (id) =>
    createHead('POST /book/1', id, 'content-length: 100\r\nexpect: what\r\n'),
  bad_chunk: (id) => `${createHead('POST /book/1', id, 'transfer-encoding: chunked\r\n')}zz\r\n`,
  two_lengths: (id) =>
    createHead('POST /book/1', id, 'transfer-encoding: chunked\r\ncontent-length: 3\r\n'),
  bad_path: (id) => createHead('GET //../%zz%00\xff', id),
  long_head: (id) => createHead('GET /look/1', id, 'x-a: b\r\n'.repeat(manyFields)),
  many_requests: (id) =>
    Array.from({ length: manyRequests }, (_, index) =>
      createHead('GET /look/1', `${id}-${index}`),
    ).join(''),
  connect: (id) => createHead('CONNECT a.example:1', id),
  upgrade: (id) => createHead('GET /?connectionParams=1', id, webSocketFields),
  upgrade_and_frames: (id) =>
    `${createHead('GET /?connectionParams=1', id, webSocketFields)}\x81\xff${'\xff'.repeat(20)}`,
  other_upgrade: (id) => createHead('GET /', id, 'connection: upgrade\r\nupgrade: h2c\r\n'),
  bad_document: (id) =>
    `${createHead('PUT /pistachiohoist/config', id, 'content-length: 5\r\n')}[[[[[`,
  bad_instance: (id) =>
    `${createHead('PUT /pistachiohoist/instances/__proto__', id, 'content-length: 4\r\n')}null`,
};

export default strangerInputs;
