import type Result from '../../domain/errors/Result.ts';
import type RequestDialect from './RequestDialect.ts';
import type { Header } from './RequestDialect.ts';

/**
 * Returns the earlier of the caller's deadline and the route's maximum time from now. Fails when
 * the headers state an invalid deadline.
 */
export default function computeDeadline(options: {
  readonly dialect: RequestDialect;
  readonly headers: readonly Header[];
  readonly now: number;
  readonly maxMs: number;
}): Result<number> {
  const { dialect, headers, now, maxMs } = options;
  const callerDeadline = dialect.readDeadline(headers, now);
  if (!callerDeadline.ok) return callerDeadline;
  return { ok: true, value: Math.min(now + maxMs, callerDeadline.value ?? Infinity) };
}
