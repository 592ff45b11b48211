import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type UpstreamRecord from '../../domain/membership/UpstreamRecord.ts';
import type { NotSentReason, SentFailure, UpstreamResult } from '../../ports/UpstreamClient.ts';
import type CallerRequest from './CallerRequest.ts';

type SimpleErrorKind = Exclude<ErrorKind, 'revision_conflict' | 'not_leader'>;

// Each of these kinds has the outcome not-run.
const notSentKinds: Readonly<Record<NotSentReason, SimpleErrorKind>> = {
  unreachable: 'upstream_unreachable',
  forbidden: 'no_upstream',
  deadline_passed: 'deadline_passed',
  cancelled: 'caller_gone',
  malformed: 'request_malformed',
};

// Each of these kinds has the outcome unknown.
const sentKinds: Readonly<Record<SentFailure, SimpleErrorKind>> = {
  cancelled: 'caller_gone_after_dispatch',
  timed_out: 'upstream_timeout',
  reset: 'upstream_reset',
  truncated: 'answer_truncated',
  mismatched: 'answer_mismatched',
  invalid_status: 'answer_mismatched',
  too_large: 'answer_too_large',
  endless: 'answer_too_large',
  dropped: 'answer_dropped',
};

/** Describes for the caller why an attempt produced no answer that can be forwarded. */
export default function describeUpstreamFailure(
  request: CallerRequest,
  record: UpstreamRecord,
  result: UpstreamResult,
): Failure {
  const call = `${request.method} ${request.target} at upstream "${record.upstream}"`;
  if (result.kind === 'answered') {
    const message = `${call}: the upstream refused the request without running it`;
    return { kind: 'upstream_refused', message };
  }
  return result.kind === 'not_sent'
    ? { kind: notSentKinds[result.reason], message: `${call}: not sent: ${result.reason}` }
    : {
        kind: sentKinds[result.reason],
        message: `${call}: failed after the request was sent: ${result.reason}`,
      };
}
