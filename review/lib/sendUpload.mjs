import { request as sendRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/**
 * Sends a request whose body takes a while, in equal pieces. Never rejects: a request without an
 * answer has status 0.
 */
export default async function sendUpload({ url, headers, piece, pieces, pauseMs, timeoutMs }) {
  const call = sendRequest(url, {
    method: 'POST',
    agent: false,
    headers: { ...headers, 'content-length': piece.length * pieces },
  });
  const answered = new Promise((resolve) => {
    const fail = (error) => resolve({ status: 0, text: String(error.message), headers: {} });
    call.on('response', async (response) => {
      const parts = await response.toArray().catch((error) => error);
      if (parts instanceof Error) fail(parts);
      else {
        const text = Buffer.concat(parts).toString('utf8');
        resolve({ status: response.statusCode, text, headers: response.headers });
      }
    });
    call.on('error', fail);
    call.setTimeout(timeoutMs, () => call.destroy(new Error('no answer in time')));
  });
  for (let sent = 0; sent < pieces && !call.destroyed; sent += 1) {
    call.write(piece);
    await sleep(pauseMs);
  }
  call.end();
  return answered;
}
