import { createWriteStream } from 'node:fs';

const maxRunMs = 110_000;

/* eslint n/no-process-exit: off -- a case ends with its exit code even while calls are open */

/**
 * Runs a case. `run` returns the breaches that it saw; the exit code is 1 if there is any, 0 if
 * there is none, and 2 if the case could not run.
 */
export default async function runCase(recordFile, run) {
  const output = createWriteStream(recordFile);
  const startedAt = Date.now();
  const record = (entry) =>
    output.write(`${JSON.stringify({ ms: Date.now() - startedAt, ...entry })}\n`);
  const hasTrouble = process.env.TROUBLE !== '0';
  const stops = [];
  const timer = setTimeout(() => {
    record({ event: 'gave up', reason: 'the case took too long' });
    Promise.all(stops.map((stop) => stop())).finally(() => process.exit(2));
  }, maxRunMs);
  let code = 2;
  try {
    record({ event: 'case', hasTrouble });
    const breaches = await run({ record, hasTrouble, onStop: (stop) => stops.push(stop) });
    breaches.slice(0, 20).forEach((breach) => record({ event: 'breach', ...breach }));
    record({ event: 'result', breaches: breaches.length });
    process.stdout.write(`breaches: ${breaches.length}\n`);
    code = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    record({ event: 'could not run', error: error.stack });
    process.stdout.write(`could not run: ${error.message}\n`);
  }
  clearTimeout(timer);
  await Promise.all(stops.map((stop) => stop()));
  await new Promise((resolve) => {
    output.end(resolve);
  });
  process.exit(code);
}
