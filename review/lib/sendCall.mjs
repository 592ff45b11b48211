import { request as sendRequest } from 'node:http';

/**
 * Sends one HTTP call on a connection of its own. Never rejects: a call without an answer has
 * status 0.
 */
export default function sendCall({
  method,
  url,
  body = '',
  headers = {},
  timeoutMs,
  agent = false,
}) {
  return new Promise((resolve) => {
    const fail = (error) => resolve({ status: 0, text: String(error.message), headers: {} });
    const options = { method, agent, headers: { ...headers } };
    if (body.length > 0) options.headers['content-length'] = Buffer.byteLength(body);
    const call = sendRequest(url, options, async (response) => {
      const parts = await response.toArray().catch((error) => error);
      if (parts instanceof Error) fail(parts);
      else {
        const text = Buffer.concat(parts).toString('utf8');
        resolve({ status: response.statusCode, text, headers: response.headers });
      }
    });
    call.setTimeout(timeoutMs, () => call.destroy(new Error('no answer in time')));
    call.on('error', fail);
    call.end(body);
  });
}
