import type Failure from '../../domain/errors/Failure.ts';
import type { ServiceSettings } from '../../domain/presets/Preset.ts';
import type RetryPolicy from '../../domain/requests/RetryPolicy.ts';
import SheddingTracker from '../../domain/requests/SheddingTracker.ts';
import type { AttemptResult } from '../../domain/requests/AttemptResult.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';
import type AnswerStatements from '../../domain/statements/AnswerStatements.ts';
import type Log from '../../ports/Log.ts';
import type UpstreamClient from '../../ports/UpstreamClient.ts';
import type { UpstreamAnswer, UpstreamResult } from '../../ports/UpstreamClient.ts';
import type AttemptObserver from './AttemptObserver.ts';
import type CallerRequest from './CallerRequest.ts';
import type LoadSource from './LoadSource.ts';
import type StopLimiter from './StopLimiter.ts';
import UpstreamChooser from './UpstreamChooser.ts';
import type { UpstreamChooserOptions } from './UpstreamChooser.ts';
import classifyAttempt from './classifyAttempt.ts';
import checkSendable from './checkSendable.ts';
import describeUpstreamFailure from './describeUpstreamFailure.ts';
import getOperation from './getOperation.ts';
import listEndToEndHeaders from './listEndToEndHeaders.ts';
import DefaultDialect from './DefaultDialect.ts';
import type RequestDialect from './RequestDialect.ts';

/** Options of the dispatcher. */
export interface UpstreamDispatcherOptions extends UpstreamChooserOptions {
  readonly upstreamClient: UpstreamClient;
  readonly observer: AttemptObserver;
  readonly loadTracker: LoadSource;
  /** `DefaultDialect` unless set. */
  readonly dialect?: RequestDialect;
  /** Limits attempts while this host stops; unless set, there is no limit. */
  readonly stopLimiter?: StopLimiter;
  /** Receives one line for each choice and one for each finished attempt. */
  readonly log?: Log;
}

/** Result of dispatching a request. */
export interface DispatchResult {
  readonly attempts: number;
  /** False only if it is certain that no upstream ran any part of the operation. */
  readonly mayHaveRun: boolean;
  readonly outcome:
    | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
    | { readonly kind: 'failed'; readonly failure: Failure };
}

interface Attempt {
  readonly end: AttemptResult;
  /** Whether the attempt gave up, for which it has taken a retry from the budget. */
  readonly hasTakenRetry: boolean;
  readonly mayHaveRun: boolean;
  readonly outcome: DispatchResult['outcome'];
}

/** Creates the log fields for what an upstream stated; fields without a value are not logged. */
function describeStatements({ limit, pausedUntil, leaving }: AnswerStatements, now: number) {
  return {
    limitPerSecond: limit.kind === 'stated' ? limit.value : undefined,
    invalidLimit: limit.kind === 'invalid' ? limit.text : undefined,
    pausedMs: pausedUntil.kind === 'stated' ? Math.round(pausedUntil.value - now) : undefined,
    invalidPause: pausedUntil.kind === 'invalid' ? pausedUntil.text : undefined,
    isLeaving: leaving.kind === 'stated' ? true : undefined,
    invalidLeaving: leaving.kind === 'invalid' ? leaving.text : undefined,
  };
}

// A later attempt that did not run must not mask an earlier attempt that may have run.
function chooseReported(earlier: Attempt | undefined, later: Attempt): Attempt {
  return earlier?.mayHaveRun && !later.mayHaveRun ? earlier : later;
}

/** Sends a request to one upstream after another, as long as the retry policy allows. */
export default class UpstreamDispatcher {
  private readonly options: UpstreamDispatcherOptions;

  private readonly sheddingTrackers = new Map<string, SheddingTracker>();

  private readonly dialect: RequestDialect;

  private readonly chooser: UpstreamChooser;

  constructor(options: UpstreamDispatcherOptions) {
    this.options = options;
    this.chooser = new UpstreamChooser(options);
    this.dialect = options.dialect ?? new DefaultDialect();
  }

  /**
   * Sends the request until an attempt succeeds or no further attempt is allowed. The promise never
   * rejects.
   */
  async dispatchRequest(
    request: CallerRequest,
    service: ServiceSettings,
    policy: RetryPolicy,
  ): Promise<DispatchResult> {
    const tried = new Set<string>();
    const { maxAttempts: maxRuns = Infinity } = request.route;
    const refusal = this.findRefusal(request);
    if (refusal) return { ...this.createFailedAttempt(refusal), attempts: 0 };
    let runs = 0;
    let candidates = this.chooser.listUntried(request, tried);
    const readScarcity = (): number => (runs + 1 >= maxRuns ? 1 : policy.readScarcity());
    let chosen = this.chooser.chooseUpstream(request, candidates, readScarcity());
    let reported: Attempt | undefined;
    while (chosen) {
      tried.add(chosen.record.upstream);
      const attempt = await this.sendAttempt(request, service, {
        chosen,
        giveUpAt: policy.computeGiveUpTime({
          now: this.options.clock.now(),
          deadline: request.deadline,
          hasAlternative: candidates.length > 1 && runs + 1 < maxRuns,
        }),
        takeRetry: () => this.takeRetry(request, tried, policy),
      });
      reported = chooseReported(reported, attempt);
      if (attempt.mayHaveRun) runs += 1;
      // Nearly every request finishes here, so the upstreams are listed again only for a retry.
      if (!policy.isRetryable(attempt.end) || runs >= maxRuns || !this.canRetry(request)) break;
      candidates = this.chooser.listUntried(request, tried);
      chosen = this.chooser.chooseUpstream(request, candidates, readScarcity());
      // `mayRetry` takes a retry from the budget, so it is called last.
      if (chosen && !attempt.hasTakenRetry && !policy.mayRetry(attempt.end)) chosen = undefined;
    }
    if (reported) return { ...reported, attempts: tried.size };
    return { ...this.createFailedAttempt(this.chooser.describeRefusal(request)), attempts: 0 };
  }

  private createFailedAttempt(failure: Failure): Attempt {
    return {
      end: 'not_run',
      hasTakenRetry: false,
      mayHaveRun: false,
      outcome: { kind: 'failed', failure },
    };
  }

  /**
   * Takes a retry from the budget for an attempt that is about to give up. Returns false if the
   * attempt should wait for its answer, because there is no retry or because this host is stopping:
   * a host that stops interrupts no request.
   */
  private takeRetry(
    request: CallerRequest,
    tried: ReadonlySet<string>,
    policy: RetryPolicy,
  ): boolean {
    const mayTry = !this.options.stopLimiter?.isStopping && this.canRetry(request);
    return (
      mayTry && this.chooser.listUntried(request, tried).length > 0 && policy.mayRetry('unknown')
    );
  }

  /** Why the request must not be sent now, or undefined while it may be sent. */
  private findRefusal(request: CallerRequest): Failure | undefined {
    const refusal = checkSendable(request, this.options.clock.now());
    const { method, target, route } = request;
    if (refusal || (this.options.stopLimiter?.mayStart(getOperation(route)) ?? true))
      return refusal;
    const message = `${method} ${target}: this host is stopping and would most likely end before the answer`;
    return { kind: 'host_stopping', message };
  }

  private canRetry(request: CallerRequest): boolean {
    if (this.findRefusal(request)) return false;
    const { service } = request.route;
    const upstreams = this.options.pool.listUsable(service).map(({ record }) => record.upstream);
    const now = this.options.clock.now();
    return !this.getSheddingTracker(service).isServiceShedding(upstreams, now);
  }

  private async sendAttempt(
    request: CallerRequest,
    service: ServiceSettings,
    plan: {
      readonly chosen: UsableUpstream;
      readonly giveUpAt: number;
      readonly takeRetry: () => boolean;
    },
  ): Promise<Attempt> {
    const { clock, random, upstreamClient, pool, gate, observer, loadTracker } = this.options;
    const { chosen, giveUpAt } = plan;
    const { record } = chosen;
    let hasTakenRetry = false;
    const attemptId = random.createId();
    const startedAt = clock.now();
    const names = { service: record.service, upstream: record.upstream };
    this.recordChoice(request, { attemptId, chosen, giveUpAt });
    const operation = getOperation(request.route);
    observer.recordStart({ ...names, operation, requestId: attemptId, startedAt });
    loadTracker.recordStart(record.service, record.upstream);
    const result = await upstreamClient.sendRequest({
      address: record.address,
      method: request.method,
      path: request.target,
      headers: listEndToEndHeaders(request.headers, this.dialect.reservedHeaders),
      body: request.body,
      mayRepeat: request.route.repeat === 'allowed',
      requestId: this.dialect.findRequestId(request.headers) ?? attemptId,
      upstream: record.upstream,
      deadline: request.deadline,
      giveUpAt,
      mayGiveUp: () => {
        hasTakenRetry = plan.takeRetry();
        return hasTakenRetry;
      },
      maxAnswerBytes: request.route.maxAnswerBytes,
      echoRequestId: service.echoRequestId,
      signal: request.signal,
      // An upstream can leave, pause or be ejected while the request waits for a connection.
      mayDispatch: () =>
        !this.findRefusal(request) && pool.isUsable(record) && (gate?.maySend(record) ?? true),
    });
    const endedAt = clock.now();
    const refusal = this.findRefusal(request);
    const { end, answerClass, reportedLoad, statements } = classifyAttempt(result, {
      isOver: refusal !== undefined,
      dialect: this.dialect,
      now: endedAt,
    });
    this.options.log?.info('requests: an attempt ended', {
      requestId: request.requestId,
      attemptId,
      upstream: record.upstream,
      end,
      answerClass,
      status: result.kind === 'answered' ? result.answer.status : undefined,
      ...(statements && describeStatements(statements, endedAt)),
      tookMs: Math.round(endedAt - startedAt),
    });
    loadTracker.recordEnd({ ...names, reportedLoad, now: endedAt });
    if (statements) gate?.reportStatements(record, statements, startedAt);
    observer.recordEnd(attemptId, {
      ...names,
      answerClass,
      startedAt,
      endedAt,
      reportedLoad,
      answerBytes: result.kind === 'answered' ? result.answer.body.byteLength : 0,
    });
    if (result.kind === 'answered') {
      const sheddingTracker = this.getSheddingTracker(record.service);
      sheddingTracker.recordAnswer(record.upstream, answerClass === 'shed', endedAt);
      const { answer } = result;
      if (end !== 'not_run')
        return { end, hasTakenRetry, mayHaveRun: true, outcome: { kind: 'answered', answer } };
    }
    const failure = this.describeFailure(request, chosen, result, refusal);
    const mayHaveRun = result.kind === 'failed';
    return { end, hasTakenRetry, mayHaveRun, outcome: { kind: 'failed', failure } };
  }

  private recordChoice(
    { requestId, route, deadline }: CallerRequest,
    attempt: {
      readonly attemptId: string;
      readonly chosen: UsableUpstream;
      readonly giveUpAt: number;
    },
  ): void {
    const { log, clock, loadTracker, pool, readRisk } = this.options;
    if (!log) return;
    const { record, weight } = attempt.chosen;
    const { inFlight, reportedLoad, reportedAt } = loadTracker.readLoad(
      route.service,
      record.upstream,
    );
    const now = clock.now();
    log.info('requests: an upstream was chosen', {
      requestId,
      attemptId: attempt.attemptId,
      service: route.service,
      upstream: record.upstream,
      incarnation: record.incarnation,
      failureDomain: record.failureDomain,
      usable: pool.listUsable(route.service).length,
      weight,
      risk: readRisk && Math.round(100 * readRisk(attempt.chosen)) / 100,
      inFlight,
      reportedLoad: reportedAt > 0 ? reportedLoad : undefined,
      reportAgeMs: reportedAt > 0 ? Math.round(now - reportedAt) : undefined,
      leftMs: Math.round(deadline - now),
      giveUpMs: Math.round(attempt.giveUpAt - now),
    });
  }

  private describeFailure(
    request: CallerRequest,
    { record }: UsableUpstream,
    result: UpstreamResult,
    refusal: Failure | undefined,
  ): Failure {
    const isForbidden = result.kind === 'not_sent' && result.reason === 'forbidden';
    if (isForbidden && refusal) return refusal;
    return describeUpstreamFailure(request, record, result);
  }

  private getSheddingTracker(service: string): SheddingTracker {
    const known = this.sheddingTrackers.get(service);
    if (known) return known;
    const sheddingTracker = new SheddingTracker();
    this.sheddingTrackers.set(service, sheddingTracker);
    return sheddingTracker;
  }
}
