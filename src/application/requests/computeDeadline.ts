import type Result from '../../domain/errors/Result.ts';
import type RequestDialect from './RequestDialect.ts';
import type { Header } from './RequestDialect.ts';

/** The caller's own deadline or the route's longest time from now, whichever is earlier. */
export default function computeDeadline(options: {
  readonly dialect: RequestDialect;
  readonly headers: readonly Header[];
  readonly now: number;
  readonly maxMs: number;
}): Result<number> {
  const { dialect, headers, now, maxMs } = options;
  const asked = dialect.readDeadline(headers, now);
  if (!asked.ok) return asked;
  return { ok: true, value: Math.min(now + maxMs, asked.value ?? Infinity) };
}
