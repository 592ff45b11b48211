import { request as sendRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/**
 * Sends a request and reads its answer at a limited rate, as over a narrow link. Never rejects.
 * `isComplete` is what the HTTP library says: whether the answer ended as its framing requires.
 */
export default function readSlowly({ url, headers, bytesPerStep, stepMs, onFirstBytes }) {
  return new Promise((resolve) => {
    const call = sendRequest(url, { method: 'GET', agent: false, headers });
    call.on('error', () => resolve({ status: 0, bytes: 0, isComplete: false }));
    call.on('response', async (response) => {
      let bytes = 0;
      let stepBytes = 0;
      const finish = (isComplete) =>
        resolve({ status: response.statusCode, bytes, isComplete, headers: response.headers });
      try {
        for await (const part of response) {
          if (bytes === 0) onFirstBytes();
          bytes += part.length;
          stepBytes += part.length;
          if (stepBytes >= bytesPerStep) {
            stepBytes = 0;
            await sleep(stepMs);
          }
        }
        finish(response.complete);
      } catch {
        finish(false);
      }
    });
    call.end();
  });
}
