import type Failure from '../../domain/errors/Failure.ts';
import type CallerRequest from './CallerRequest.ts';

/** Returns why a request must no longer be sent, or undefined while it may be sent. */
export default function checkSendable(request: CallerRequest, now: number): Failure | undefined {
  const call = `${request.method} ${request.target}`;
  if (request.signal.aborted) {
    return {
      kind: 'caller_gone',
      message: `${call}: the caller disconnected before the request was sent`,
    };
  }
  if (now < request.deadline) return undefined;
  return {
    kind: 'deadline_passed',
    message: `${call}: the deadline passed before the request was sent`,
  };
}
