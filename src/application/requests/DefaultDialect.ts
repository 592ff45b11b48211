import type Result from '../../domain/errors/Result.ts';
import type { UpstreamAnswer } from '../../ports/UpstreamClient.ts';
import type { CallerAnswer } from './CallerRequest.ts';
import type RequestDialect from './RequestDialect.ts';
import type { AnswerSignals, Header, UpstreamRequestHead } from './RequestDialect.ts';
import findSingleValue from './findSingleValue.ts';

const requestIdName = 'pistachiohoist-request-id';
const deadlineName = 'pistachiohoist-deadline';
const outcomeName = 'pistachiohoist-outcome';
const errorName = 'pistachiohoist-error';
const loadName = 'pistachiohoist-load';
const teamKeyName = 'pistachiohoist-key';
const teamName = 'pistachiohoist-team';

function listValues(headers: readonly Header[], headerName: string): readonly string[] {
  return headers.filter(([name]) => name === headerName).map(([, value]) => value);
}

/** The default dialect of this project; docs/configuration.md lists its headers. */
export default class DefaultDialect implements RequestDialect {
  readonly reservedHeaders: ReadonlySet<string> = new Set([
    requestIdName,
    deadlineName,
    outcomeName,
    errorName,
    loadName,
  ]);

  readonly teamHeaders: ReadonlySet<string> = new Set([teamKeyName, teamName]);

  // An orderly close may also follow a truncated body, which could then pass for a complete one.
  readonly mayEndByClose = false;

  readDeadline(headers: readonly Header[]): Result<number | undefined> {
    const [text, ...others] = listValues(headers, deadlineName);
    if (text === undefined) return { ok: true, value: undefined };
    if (others.length > 0 || !/^\d{1,16}$/.test(text)) {
      const value = [text, ...others].join(', ');
      const message = `${deadlineName}: value "${value}": expected one number of milliseconds since the Unix epoch`;
      return { ok: false, failure: { kind: 'deadline_invalid', message } };
    }
    return { ok: true, value: Number(text) };
  }

  findRequestId(): undefined {
    return undefined;
  }

  findTeamKey(headers: readonly Header[]): string | undefined {
    return findSingleValue(headers, teamKeyName);
  }

  createUpstreamHeaders({ requestId, deadline, team }: UpstreamRequestHead): readonly Header[] {
    const head: readonly Header[] = [
      [requestIdName, requestId],
      [deadlineName, String(Math.floor(deadline))],
    ];
    return team === undefined ? head : [...head, [teamName, team]];
  }

  isAnswerTo(requestId: string, { headers }: { readonly headers: readonly Header[] }): boolean {
    return listValues(headers, requestIdName)[0] === requestId;
  }

  readAnswerSignals({ status, headers }: UpstreamAnswer): AnswerSignals {
    const outcomes = listValues(headers, outcomeName);
    // Contradictory headers are no proof that the operation did not run.
    const hasNotRun = outcomes.length > 0 && outcomes.every((value) => value === 'not-run');
    const isShed = hasNotRun || (status === 503 && listValues(headers, 'retry-after').length > 0);
    const load = listValues(headers, loadName)[0];
    const reportedLoad = load !== undefined && /^\d{1,6}$/.test(load) ? Number(load) : undefined;
    const statements = undefined;
    return { hasNotRun, isShed, isMisdirected: false, reportedLoad, statements };
  }

  createCallerHeaders({ outcome, errorKind, retryAt }: CallerAnswer, now: number): Header[] {
    const headers: Header[] = [[outcomeName, outcome]];
    if (errorKind) headers.push([errorName, errorKind]);
    if (retryAt !== undefined) {
      headers.push(['retry-after', String(Math.max(1, Math.ceil((retryAt - now) / 1000)))]);
    }
    return headers;
  }
}
