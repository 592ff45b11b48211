import type { CrowdInput } from './SoakPlan.ts';
import { createHead } from './strangerInputs.ts';

const bodyBytes = 60_000;
const chunks = 20_000;
const fields = 2300;
const requests = 60;

/** Creates the bytes of each input, as latin1; requests among them carry the id. */
const crowdInputs: Readonly<Record<CrowdInput, (id: string) => string>> = {
  stopped_body: (id) =>
    createHead('POST /book/1', id, `content-length: ${bodyBytes + 1}\r\n`) + 'x'.repeat(bodyBytes),
  tiny_chunks: (id) =>
    createHead('POST /book/1', id, 'transfer-encoding: chunked\r\n') + '1\r\nx\r\n'.repeat(chunks),
  short_fields: (id) => createHead('GET /look/1', id, 'a:\r\n'.repeat(fields)),
  unread_requests: (id) =>
    Array.from({ length: requests }, (_, index) =>
      createHead('GET /look/1', `${id}-${index}`),
    ).join(''),
};

export default crowdInputs;
