import type { AnswerClass } from '../../domain/requests/AttemptObservation.ts';
import type { AttemptResult } from '../../domain/requests/AttemptResult.ts';
import type AnswerStatements from '../../domain/statements/AnswerStatements.ts';
import type { NotSentReason, SentFailure, UpstreamResult } from '../../ports/UpstreamClient.ts';
import type RequestDialect from './RequestDialect.ts';

const answerClasses: Readonly<Record<NotSentReason | SentFailure, AnswerClass>> = {
  timed_out: 'timed_out',
  reset: 'reset',
  truncated: 'truncated',
  mismatched: 'mismatched',
  invalid_status: 'failed',
  too_large: 'good',
  endless: 'failed',
  dropped: 'cancelled',
  cancelled: 'cancelled',
  unreachable: 'unreachable',
  forbidden: 'cancelled',
  deadline_passed: 'cancelled',
  malformed: 'cancelled',
};

// A retry would not help: another upstream would get the same malformed request or send the same
// oversized answer, and this host would have no room for it either.
const finalReasons: ReadonlySet<NotSentReason | SentFailure> = new Set([
  'malformed',
  'too_large',
  'dropped',
]);

/** Meaning of an attempt's result for the request and for the upstream's health. */
export interface AttemptClassification {
  readonly end: AttemptResult;
  readonly answerClass: AnswerClass;
  readonly reportedLoad: number | undefined;
  /** What the upstream states about itself; undefined without an answer of that upstream. */
  readonly statements: AnswerStatements | undefined;
}

/**
 * Classifies the result of an attempt. `isOver` is true once the caller has disconnected or its
 * deadline has passed; the attempt ended at `now`.
 */
export default function classifyAttempt(
  result: UpstreamResult,
  {
    isOver,
    dialect,
    now,
  }: { readonly isOver: boolean; readonly dialect: RequestDialect; readonly now: number },
): AttemptClassification {
  if (result.kind === 'answered') {
    const signals = dialect.readAnswerSignals(result.answer, now);
    const { hasNotRun, isShed, isMisdirected, reportedLoad, statements } = signals;
    const isFaulty = result.answer.status >= 500;
    const answerResult = isFaulty ? 'faulty_answer' : 'good_answer';
    const completeClass = isFaulty ? 'failed' : 'good';
    const refusedClass = isMisdirected ? 'misplaced' : 'shed';
    return {
      end: hasNotRun ? 'not_run' : answerResult,
      answerClass: isShed || isMisdirected ? refusedClass : completeClass,
      reportedLoad,
      // Another upstream answered a misdirected request.
      statements: isMisdirected ? undefined : statements,
    };
  }
  const isFinal = isOver || finalReasons.has(result.reason);
  const failureResult = result.kind === 'not_sent' ? 'not_sent' : 'unknown';
  return {
    end: isFinal ? 'given_up' : failureResult,
    answerClass: answerClasses[result.reason],
    reportedLoad: undefined,
    statements: undefined,
  };
}
