import type { UpstreamAnswer } from '../../ports/UpstreamClient.ts';

/** What an upstream's answer says besides its content. */
export interface AnswerSignals {
  /** The upstream states that it did not run the operation. */
  readonly hasNotRun: boolean;
  /** The upstream refused the request because of load. */
  readonly isShed: boolean;
  /** Slots in use, when reported. */
  readonly reportedLoad: number | undefined;
}

/** Reads the fleet's headers on an upstream's answer. */
export default function readAnswerSignals(answer: UpstreamAnswer): AnswerSignals {
  const listValues = (wanted: string): readonly string[] =>
    answer.headers.filter(([name]) => name === wanted).map(([, value]) => value);
  const outcomes = listValues('pistachiohoist-outcome');
  // Contradicting headers prove nothing.
  const hasNotRun = outcomes.length > 0 && outcomes.every((value) => value === 'not-run');
  const isShed = hasNotRun || (answer.status === 503 && listValues('retry-after').length > 0);
  const load = listValues('pistachiohoist-load')[0];
  const reportedLoad = load !== undefined && /^\d{1,6}$/.test(load) ? Number(load) : undefined;
  return { hasNotRun, isShed, reportedLoad };
}
