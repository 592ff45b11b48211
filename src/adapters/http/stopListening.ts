import { Server as NetServer } from 'node:net';

import type Clock from '../../ports/Clock.ts';

// Connections that arrive during a turn of the event loop are not seen in it, so the last turn is
// one without work, or, on a busy host, shorter than the time to open a connection
// (docs/design.md, section 1.4).
const shortTurnMs = 0.1;
const maxTurnMs = 1;
const maxShortTurnsMs = 50;
// Node.js accepts one connection in each turn, so callers that keep coming could fill the queue for
// ever. About the default `stop_grace`, which they at most double.
const maxAcceptMs = 2000;

/** Options of a stop. */
export interface StopListeningOptions {
  readonly server: NetServer;
  readonly clock: Clock;
  /** Time by which the listener is closed, `maxAcceptMs` from now at the latest. */
  readonly deadline: number;
}

/** How a listener stopped. */
export interface StoppedListener {
  /** Connections that were in the queue of the operating system. */
  readonly queued: number;
  /** Time that it took to accept them, in milliseconds. */
  readonly queueMs: number;
}

/**
 * Stops listening, and closes no connection. Accepts the connections in the queue of the operating
 * system first, which would reset them.
 */
export default async function stopListening(
  options: StopListeningOptions,
): Promise<StoppedListener> {
  const { server, clock } = options;
  const startedAt = clock.now();
  const deadline = Math.min(options.deadline, startedAt + maxAcceptMs);
  let queued = 0;
  const countConnection = (): void => {
    queued += 1;
  };
  server.on('connection', countConnection);
  // The caller may run in the middle of a turn; this is the end of it.
  await clock.yieldToEventLoop();
  const shortUntil = startedAt + maxShortTurnsMs;
  let isQuiet = false;
  while (!isQuiet && clock.now() < deadline) {
    const queuedBefore = queued;
    const turnStartedAt = clock.now();
    await clock.yieldToEventLoop();
    const now = clock.now();
    const turnMs = now < shortUntil ? shortTurnMs : maxTurnMs;
    isQuiet = queued === queuedBefore && now - turnStartedAt <= turnMs;
  }
  server.off('connection', countConnection);
  // The close method of http.Server destroys connections whose last answer is still being sent.
  NetServer.prototype.close.call(server);
  return { queued, queueMs: Math.round(clock.now() - startedAt) };
}
