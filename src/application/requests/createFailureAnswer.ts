import errorAnswers from '../../domain/errors/errorAnswers.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type { CallerAnswer } from './CallerRequest.ts';

/** Creates the answer for a failure: a JSON body with kind, outcome and message. */
export default function createFailureAnswer(failure: Failure): CallerAnswer {
  const { status, outcome } = errorAnswers[failure.kind];
  const body = JSON.stringify({ error: failure.kind, outcome, message: failure.message });
  return {
    status,
    headers: [['content-type', 'application/json']],
    body: Buffer.from(body),
    outcome,
    errorKind: failure.kind,
  };
}
