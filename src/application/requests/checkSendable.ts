import type Failure from '../../domain/errors/Failure.ts';
import type CallerRequest from './CallerRequest.ts';

/** Why a request that was not sent yet must not be sent any more; undefined while it may be. */
export default function checkSendable(request: CallerRequest, now: number): Failure | undefined {
  const call = `${request.method} ${request.target}`;
  if (request.signal.aborted) {
    return { kind: 'caller_gone', message: `${call}: the caller left before it was sent` };
  }
  if (now < request.deadline) return undefined;
  return { kind: 'deadline_passed', message: `${call}: the deadline passed before it was sent` };
}
