import type Result from '../../domain/errors/Result.ts';

const headerName = 'pistachiohoist-deadline';

/** The caller's own deadline or the route's longest time from now, whichever is earlier. */
export default function createDeadline(options: {
  readonly headers: readonly (readonly [string, string])[];
  readonly now: number;
  readonly longestMs: number;
}): Result<number> {
  const latest = options.now + options.longestMs;
  const text = options.headers.find(([name]) => name === headerName)?.[1];
  if (text === undefined) return { ok: true, value: latest };
  if (!/^\d{1,16}$/.test(text)) {
    const message = `${headerName}: value "${text}": expected milliseconds since the Unix epoch`;
    return { ok: false, failure: { kind: 'deadline_invalid', message } };
  }
  return { ok: true, value: Math.min(latest, Number(text)) };
}
