import type Failure from '../../domain/errors/Failure.ts';
import type { ServiceSettings } from '../../domain/presets/Preset.ts';
import type { AnswerClass } from '../../domain/requests/AttemptObservation.ts';
import type { AttemptResult } from '../../domain/requests/AttemptResult.ts';
import classifyShedding from '../../domain/requests/classifyShedding.ts';
import type { Shedding } from '../../domain/requests/classifyShedding.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';
import type AnswerStatements from '../../domain/statements/AnswerStatements.ts';
import type Log from '../../ports/Log.ts';
import type UpstreamClient from '../../ports/UpstreamClient.ts';
import type { UpstreamAnswer, UpstreamResult } from '../../ports/UpstreamClient.ts';
import type AttemptObserver from './AttemptObserver.ts';
import type CallerRequest from './CallerRequest.ts';
import DefaultDialect from './DefaultDialect.ts';
import type LoadSource from './LoadSource.ts';
import type RequestDialect from './RequestDialect.ts';
import type { UpstreamChooserOptions } from './UpstreamChooser.ts';
import classifyAttempt from './classifyAttempt.ts';
import describeUpstreamFailure from './describeUpstreamFailure.ts';
import getOperation from './getOperation.ts';
import listEndToEndHeaders from './listEndToEndHeaders.ts';

/** Options of the sender. */
export interface AttemptSenderOptions extends Omit<
  UpstreamChooserOptions,
  'balancer' | 'failureDomain'
> {
  readonly upstreamClient: UpstreamClient;
  readonly observer: AttemptObserver;
  readonly loadTracker: LoadSource;
  /** `DefaultDialect` unless set. */
  readonly dialect?: RequestDialect;
  /** Receives one line for each choice and one for each finished attempt. */
  readonly log?: Log;
}

/** How an attempt ended. */
export interface EndedAttempt {
  readonly end: AttemptResult;
  readonly mayHaveRun: boolean;
  readonly shedding: Shedding;
  readonly outcome:
    | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
    | { readonly kind: 'failed'; readonly failure: Failure };
}

/** An attempt that was started. */
export interface OpenAttempt {
  readonly ended: Promise<EndedAttempt>;
  /** Resolves at the hedge time of the attempt, unless it has ended before. */
  readonly overdue: Promise<undefined>;
  /** Ends the attempt because another one was answered first. */
  readonly cancel: () => void;
}

/** What an attempt needs besides its request. */
export interface AttemptPlan {
  readonly chosen: UsableUpstream;
  /** Estimated time until the answer, in service times of the upstream; 1 without a queue. */
  readonly serviceTimes: number;
  /** Instant from which the request may be sent to another upstream too; `Infinity` for never. */
  readonly hedgeAt: number;
  /** Instant until which the request may be sent; a retry is allowed only for a short time. */
  readonly sendBy: number;
  /** Why the request must not be sent now, or undefined while it may be sent. */
  readonly findRefusal: () => Failure | undefined;
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

/** Sends single attempts to upstreams and records how they end. */
export default class AttemptSender {
  private readonly options: AttemptSenderOptions;

  private readonly dialect: RequestDialect;

  constructor(options: AttemptSenderOptions) {
    this.options = options;
    this.dialect = options.dialect ?? new DefaultDialect();
  }

  /** Sends a request to an upstream. The promises of the attempt never reject. */
  startAttempt(request: CallerRequest, service: ServiceSettings, plan: AttemptPlan): OpenAttempt {
    const cancellation = new AbortController();
    let onOverdue = (): void => undefined;
    const overdue = new Promise<undefined>((resolve) => {
      onOverdue = () => resolve(undefined);
    });
    const ended = this.runAttempt(request, service, { ...plan, onOverdue, cancellation });
    return { ended, overdue, cancel: () => cancellation.abort('outrun') };
  }

  private async runAttempt(
    request: CallerRequest,
    service: ServiceSettings,
    plan: AttemptPlan & {
      readonly onOverdue: () => void;
      readonly cancellation: AbortController;
    },
  ): Promise<EndedAttempt> {
    const { clock, random, observer, loadTracker, gate } = this.options;
    const { chosen, cancellation } = plan;
    const { record } = chosen;
    const attemptId = random.createId();
    const startedAt = clock.now();
    const names = { service: record.service, upstream: record.upstream };
    this.recordChoice(request, { attemptId, chosen, hedgeAt: plan.hedgeAt });
    const operation = getOperation(request.route);
    const { serviceTimes } = plan;
    observer.recordStart({ ...names, operation, requestId: attemptId, startedAt, serviceTimes });
    loadTracker.recordStart(record.service, record.upstream);
    let isOutrun = true;
    const onCallerGone = (): void => {
      isOutrun = false;
      cancellation.abort('the caller disconnected');
    };
    request.signal.addEventListener('abort', onCallerGone, { once: true });
    if (request.signal.aborted) onCallerGone();
    const result = await this.sendRequest(request, service, { ...plan, attemptId });
    request.signal.removeEventListener('abort', onCallerGone);
    const endedAt = clock.now();
    const refusal = plan.findRefusal();
    const classified = classifyAttempt(result, {
      isOver: refusal !== undefined,
      dialect: this.dialect,
      now: endedAt,
    });
    const { end, reportedLoad, statements } = classified;
    const isUnanswered = result.kind === 'failed' && result.reason === 'cancelled';
    const answerClass: AnswerClass =
      isUnanswered && isOutrun ? 'timed_out' : classified.answerClass;
    this.options.log?.info('requests: an attempt ended', {
      requestId: request.requestId,
      attemptId,
      upstream: record.upstream,
      end,
      answerClass,
      status: result.kind === 'answered' ? result.answer.status : undefined,
      load: reportedLoad,
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
    const isShed = answerClass === 'shed';
    const shedding = classifyShedding({ isShed, reportedLoad, slots: record.slots });
    if (result.kind === 'answered' && end !== 'not_run') {
      const outcome = { kind: 'answered', answer: result.answer } as const;
      return { end, shedding, mayHaveRun: true, outcome };
    }
    const failure = this.describeFailure(request, chosen, result, refusal);
    const mayHaveRun = result.kind === 'failed';
    return { end, shedding, mayHaveRun, outcome: { kind: 'failed', failure } };
  }

  private sendRequest(
    request: CallerRequest,
    service: ServiceSettings,
    plan: AttemptPlan & {
      readonly attemptId: string;
      readonly onOverdue: () => void;
      readonly cancellation: AbortController;
    },
  ): Promise<UpstreamResult> {
    const { upstreamClient, pool, gate, clock } = this.options;
    const { record } = plan.chosen;
    return upstreamClient.sendRequest({
      address: record.address,
      method: request.method,
      path: request.target,
      headers: listEndToEndHeaders(request.headers, this.listReserved(request)),
      body: request.body,
      mayRepeat: request.route.repeat === 'allowed',
      requestId: this.dialect.findRequestId(request.headers) ?? plan.attemptId,
      upstream: record.upstream,
      team: request.identity.kind === 'team' ? request.identity.team.name : undefined,
      deadline: request.deadline,
      overdueAt: plan.hedgeAt,
      onOverdue: plan.onOverdue,
      maxAnswerBytes: request.route.maxAnswerBytes,
      echoRequestId: service.echoRequestId,
      signal: plan.cancellation.signal,
      // An upstream can leave, pause or be ejected while the request waits for a connection.
      mayDispatch: () =>
        clock.now() < plan.sendBy &&
        !plan.findRefusal() &&
        pool.isUsable(record) &&
        (gate?.maySend(record) ?? true),
    });
  }

  // Upstreams take the name of a team as proof of it, so none that a caller sent may reach them.
  private listReserved({ identity }: CallerRequest): ReadonlySet<string> {
    const { reservedHeaders, teamHeaders } = this.dialect;
    return identity.kind === 'unchecked'
      ? reservedHeaders
      : new Set([...reservedHeaders, ...teamHeaders]);
  }

  private recordChoice(
    { requestId, route, deadline }: CallerRequest,
    attempt: {
      readonly attemptId: string;
      readonly chosen: UsableUpstream;
      readonly hedgeAt: number;
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
      hedgeMs: attempt.hedgeAt < deadline ? Math.round(attempt.hedgeAt - now) : undefined,
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
}
