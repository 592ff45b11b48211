import type Failure from '../../domain/errors/Failure.ts';
import type { RetryUse } from '../../domain/admission/RetryRank.ts';
import type { ServiceSettings } from '../../domain/presets/Preset.ts';
import type { AttemptResult } from '../../domain/requests/AttemptResult.ts';
import type RetryPolicy from '../../domain/requests/RetryPolicy.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';
import type Clock from '../../ports/Clock.ts';
import type { EndedAttempt, OpenAttempt } from './AttemptSender.ts';
import type AttemptSender from './AttemptSender.ts';
import type CallerRequest from './CallerRequest.ts';
import type UpstreamChooser from './UpstreamChooser.ts';

/** Options of the dispatch of one request. */
export interface RequestDispatchOptions {
  readonly request: CallerRequest;
  readonly service: ServiceSettings;
  readonly policy: RetryPolicy;
  readonly chooser: UpstreamChooser;
  readonly sender: AttemptSender;
  /** Why the request must not be sent now, or undefined while it may be sent. */
  readonly findRefusal: () => Failure | undefined;
  /** Whether a further attempt makes sense now. */
  readonly mayTryAgain: () => boolean;
  /** Whether the request may be sent to a second upstream while the first one works on it. */
  readonly mayHedge: () => boolean;
  /** Time that few answers to the request take from an upstream without a queue, in ms. */
  readonly estimateLongMs: () => number;
  /** Time that half of the answers to the request take, in ms; 0 while it is not known. */
  readonly estimateTypicalMs: () => number;
  readonly clock: Clock;
  /** Called with each upstream to which an attempt has ended. */
  readonly onEnd: (upstream: string, attempt: EndedAttempt) => void;
}

/** Result of dispatching a request. */
export interface DispatchResult {
  readonly attempts: number;
  /** False only if it is certain that no upstream ran any part of the operation. */
  readonly mayHaveRun: boolean;
  readonly outcome: EndedAttempt['outcome'];
}

// A later attempt that did not run must not mask an earlier attempt that may have run.
function chooseReported(earlier: EndedAttempt | undefined, later: EndedAttempt): EndedAttempt {
  return earlier?.mayHaveRun && !later.mayHaveRun ? earlier : later;
}

/** Sends one request to one upstream after another, as long as the retry policy allows. */
export default class RequestDispatch {
  private readonly options: RequestDispatchOptions;

  private readonly tried = new Set<string>();

  /** Number of attempts that may have run the request, including the open ones. */
  private runs = 0;

  /** Instant until which the newest attempt may be sent. */
  private sendBy = Infinity;

  constructor(options: RequestDispatchOptions) {
    this.options = options;
  }

  /**
   * Runs until an attempt succeeds or no further attempt is allowed. An attempt that is overdue is
   * joined by one at a second upstream, and the first good answer counts.
   */
  async run(): Promise<DispatchResult> {
    const { request, policy, chooser, findRefusal, mayTryAgain } = this.options;
    const refusal = findRefusal();
    if (refusal) return this.createFailure(refusal);
    let chosen = this.chooseNext();
    let reported: EndedAttempt | undefined;
    while (chosen) {
      const attempt = await this.runHedged(chosen);
      reported = chooseReported(reported, attempt);
      // Nearly every request finishes here, so the upstreams are listed again only for a retry.
      if (!policy.isRetryable(attempt.end) || this.runsLeft <= 0 || !mayTryAgain()) break;
      chosen = this.chooseNext();
      // A retry that was taken can't be given back, so it is taken last.
      if (chosen && !(await this.takeRetry(attempt.end, this.decideUse()))) chosen = undefined;
    }
    if (!reported) return this.createFailure(chooser.describeRefusal(request));
    return { ...reported, attempts: this.tried.size };
  }

  /** Number of further attempts that may run the request. */
  private get runsLeft(): number {
    return (this.options.request.route.maxAttempts ?? Infinity) - this.runs;
  }

  private createFailure(failure: Failure): DispatchResult {
    return { attempts: 0, mayHaveRun: false, outcome: { kind: 'failed', failure } };
  }

  private chooseNext(): UsableUpstream | undefined {
    const { request, policy, chooser } = this.options;
    const scarcity = this.runsLeft > 1 ? policy.readScarcity() : 1;
    return chooser.chooseUpstream(request, chooser.listUntried(request, this.tried), scarcity);
  }

  /** Runs an attempt, and one at a second upstream when it is overdue. */
  private async runHedged(chosen: UsableUpstream): Promise<EndedAttempt> {
    const first = this.startAttempt(chosen, this.computeHedgeTime(chosen));
    const early = await Promise.race([first.ended, first.overdue]);
    if (early) return early;
    // A second attempt that has to wait would only delay other requests.
    const second = await this.startSecond(first, (serviceTimes) => serviceTimes <= 1);
    return second ? this.waitEither(first, second) : this.runHedgedLate(first);
  }

  /** Waits for an attempt that is overdue; asks a second upstream after half of the time left. */
  private async runHedgedLate(first: OpenAttempt): Promise<EndedAttempt> {
    const { clock, request } = this.options;
    const ended = new AbortController();
    const lateAt = (clock.now() + request.deadline) / 2;
    const late = clock.sleepUntil(lateAt, ended.signal).then(() => undefined);
    const early = await Promise.race([first.ended, late]);
    ended.abort();
    if (early) return early;
    const second = await this.startSecond(first, (serviceTimes) => this.mayEndInTime(serviceTimes));
    return second ? this.waitEither(first, second) : first.ended;
  }

  private mayEndInTime(serviceTimes: number): boolean {
    const { clock, request, estimateLongMs } = this.options;
    return clock.now() + estimateLongMs() * serviceTimes <= request.deadline;
  }

  private computeHedgeTime(chosen: UsableUpstream): number {
    const { policy, request, chooser, clock, estimateLongMs } = this.options;
    if (this.runsLeft <= 1) return Infinity;
    const now = clock.now();
    const overdueAt = now + estimateLongMs() * chooser.estimateServiceTimes(chosen);
    return policy.computeHedgeTime({ now, deadline: request.deadline, overdueAt });
  }

  /** Starts an attempt beside one that is overdue, unless that ends before a retry is taken. */
  private async startSecond(
    first: OpenAttempt,
    mayWait: (serviceTimes: number) => boolean,
  ): Promise<OpenAttempt | undefined> {
    const { chooser, mayTryAgain, mayHedge } = this.options;
    if (!mayHedge() || !mayTryAgain()) return undefined;
    const chosen = this.chooseNext();
    if (!chosen || !mayWait(chooser.estimateServiceTimes(chosen))) return undefined;
    // A retry that was taken can't be given back, so it is taken last.
    const isTaken = this.takeRetry('unknown', 'hedge');
    const isNeeded = await Promise.race([first.ended.then(() => false), isTaken]);
    return isNeeded ? this.startAttempt(chosen, Infinity) : undefined;
  }

  /**
   * Takes a retry of an attempt with this result. An attempt that was not sent has used nothing, so
   * the next one may be sent in its place.
   */
  private async takeRetry(end: AttemptResult, use: RetryUse): Promise<boolean> {
    if (end === 'not_sent' && this.options.clock.now() < this.sendBy) return true;
    const sendBy = await this.options.policy.takeRetry(end, use);
    this.sendBy = sendBy ?? this.sendBy;
    return sendBy !== undefined;
  }

  /** Whether a retry that is sent now is likely to be answered within the objective. */
  private decideUse(): RetryUse {
    const { clock, request, estimateTypicalMs } = this.options;
    const { objectiveMs = Infinity } = request.route;
    const objectiveAt = Math.min(request.receivedAt + objectiveMs, request.deadline);
    return clock.now() + estimateTypicalMs() <= objectiveAt ? 'in_time' : 'late';
  }

  private startAttempt(chosen: UsableUpstream, hedgeAt: number): OpenAttempt {
    const { request, service, chooser, sender, findRefusal, onEnd } = this.options;
    const { upstream } = chosen.record;
    this.tried.add(upstream);
    this.runs += 1;
    const serviceTimes = chooser.estimateServiceTimes(chosen);
    const plan = { chosen, serviceTimes, hedgeAt, findRefusal, sendBy: this.sendBy };
    const attempt = sender.startAttempt(request, service, plan);
    const recordEnd = (ended: EndedAttempt): EndedAttempt => {
      if (!ended.mayHaveRun) this.runs -= 1;
      onEnd(upstream, ended);
      return ended;
    };
    return { ...attempt, ended: attempt.ended.then(recordEnd) };
  }

  /** Waits for the first answer that needs no retry, or for both attempts. */
  private async waitEither(first: OpenAttempt, second: OpenAttempt): Promise<EndedAttempt> {
    const { policy } = this.options;
    const [winner, other] = await Promise.race([
      first.ended.then((ended) => [ended, second] as const),
      second.ended.then((ended) => [ended, first] as const),
    ]);
    const isFinal = ({ outcome, end }: EndedAttempt): boolean =>
      outcome.kind === 'answered' && !policy.isRetryable(end);
    if (isFinal(winner)) other.cancel();
    const last = await other.ended;
    if (isFinal(winner)) return winner;
    return isFinal(last) ? last : chooseReported(winner, last);
  }
}
