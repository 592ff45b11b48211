import type Result from '../../domain/errors/Result.ts';

const headerName = 'pistachiohoist-deadline';

/** The caller's own deadline or the route's longest time from now, whichever is earlier. */
export default function createDeadline(options: {
  readonly headers: readonly (readonly [string, string])[];
  readonly now: number;
  readonly longestMs: number;
}): Result<number> {
  const latest = options.now + options.longestMs;
  const [text, ...others] = options.headers
    .filter(([name]) => name === headerName)
    .map(([, value]) => value);
  if (text === undefined) return { ok: true, value: latest };
  if (others.length > 0 || !/^\d{1,16}$/.test(text)) {
    const value = [text, ...others].join(', ');
    const message = `${headerName}: value "${value}": expected one number of milliseconds since the Unix epoch`;
    return { ok: false, failure: { kind: 'deadline_invalid', message } };
  }
  return { ok: true, value: Math.min(latest, Number(text)) };
}
