import { createHash } from 'node:crypto';

import type { StoredAnswer } from '../../domain/claims/Claim.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type Outcome from '../../domain/errors/Outcome.ts';
import type Result from '../../domain/errors/Result.ts';
import type { RouteSettings, ServiceSettings } from '../../domain/presets/Preset.ts';
import type CallerIdentity from '../../domain/teams/CallerIdentity.ts';
import IdempotentRetryPolicy from '../../domain/requests/IdempotentRetryPolicy.ts';
import TrafficSplitter from '../../domain/requests/TrafficSplitter.ts';
import AtMostOnceRetryPolicy from '../../domain/requests/AtMostOnceRetryPolicy.ts';
import type RetryAllowance from '../../domain/requests/RetryAllowance.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type RandomSource from '../../ports/RandomSource.ts';
import type { UpstreamAnswer } from '../../ports/UpstreamClient.ts';
import type ClaimGate from '../claims/ClaimGate.ts';
import type { GrantedClaim } from '../claims/ClaimGate.ts';
import type ActivePreset from './ActivePreset.ts';
import GateChain from './GateChain.ts';
import IdentityResolver from './IdentityResolver.ts';
import type RequestGate from './RequestGate.ts';
import type CallerRequest from './CallerRequest.ts';
import type { CallerAnswer } from './CallerRequest.ts';
import DefaultDialect from './DefaultDialect.ts';
import type RequestDialect from './RequestDialect.ts';
import type { Header } from './RequestDialect.ts';
import type RequestObserver from './RequestObserver.ts';
import type RetryBudgetSource from './RetryBudgetSource.ts';
import ReturnTimes from './ReturnTimes.ts';
import ServiceRetryBudgets from './ServiceRetryBudgets.ts';
import type TeamObserver from './TeamObserver.ts';
import type UpstreamDispatcher from './UpstreamDispatcher.ts';
import type { DispatchResult } from './RequestDispatch.ts';
import computeDeadline from './computeDeadline.ts';
import createFailureAnswer from './createFailureAnswer.ts';
import checkSendable from './checkSendable.ts';
import getRank from './getRank.ts';
import isOriginForm from './isOriginForm.ts';
import listEndToEndHeaders from './listEndToEndHeaders.ts';

// After all hosts of a fleet were killed and restarted, they had the preset again about 1 s after
// their start. A caller that is refused is asked to retry later than that.
const maxReadyWaitMs = 800;
// Maximum share of the caller's remaining time that the wait may use, so that enough time remains
// for the upstream.
const maxReadyWaitShare = 0.25;

/** Options of the handler. */
export interface RequestHandlerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly activePreset: ActivePreset;
  readonly claims: ClaimGate;
  readonly dispatcher: UpstreamDispatcher;
  readonly observer: RequestObserver;
  /** Observes the results of requests while the active preset has teams. */
  readonly teamObserver?: TeamObserver;
  readonly log: Log;
  /** `DefaultDialect` unless set. */
  readonly dialect?: RequestDialect;
  /** Resolves when this host has a preset, or at the deadline. Unless set, requests do not wait. */
  readonly waitReady?: (deadline: number) => Promise<void>;
  /** `ServiceRetryBudgets` unless set. */
  readonly budgets?: RetryBudgetSource;
  /** Gates that a request passes, in this order, before it is dispatched; none unless set. */
  readonly gates?: readonly RequestGate[];
}

/** The head of a request. */
export interface RequestHead {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly Header[];
  readonly receivedAt: number;
}

/** A request whose head was accepted. */
export interface OpenedRequest {
  readonly route: RouteSettings;
  readonly service: ServiceSettings;
  readonly identity: CallerIdentity;
  readonly requestId: string;
  readonly receivedAt: number;
  readonly deadline: number;
}

/** An answer to a request and what is known of its run. */
interface EndedRequest {
  readonly answer: CallerAnswer;
  readonly attempts: number;
  /** False only if it is certain that no upstream ran any part of the operation. */
  readonly mayHaveRun: boolean;
}

// A 5xx status shows that the upstream failed, but not whether the operation ran before that.
function decideAnswerOutcome(status: number): Outcome {
  return status >= 500 ? 'unknown' : 'ran';
}

/** Handles callers' requests; front ends call it with complete requests. */
export default class RequestHandler {
  private readonly options: RequestHandlerOptions;

  private readonly dialect: RequestDialect;

  private readonly budgets: RetryBudgetSource;

  private readonly splitter: TrafficSplitter;

  private readonly identities: IdentityResolver;

  private readonly gates: GateChain;

  private readonly returnTimes: ReturnTimes;

  constructor(options: RequestHandlerOptions) {
    const { activePreset, clock, random, dispatcher, log, gates = [] } = options;
    this.options = options;
    this.splitter = new TrafficSplitter(options.random);
    this.dialect = options.dialect ?? new DefaultDialect();
    this.budgets = options.budgets ?? new ServiceRetryBudgets();
    this.identities = new IdentityResolver({ activePreset, dialect: this.dialect });
    this.gates = new GateChain({ gates, log });
    this.returnTimes = new ReturnTimes({
      ...{ clock, random },
      estimateWaitMs: (request) => dispatcher.estimateWaitMs(request),
    });
  }

  /** Waits briefly while this host starts, so as not to refuse requests that it can serve soon. */
  async waitReady({ headers, receivedAt }: RequestHead): Promise<void> {
    const { activePreset, waitReady } = this.options;
    const isReady = activePreset.routeTable !== undefined && !this.identities.isUncertain;
    if (isReady || !waitReady) return;
    const callerDeadline = this.dialect.readDeadline(headers, receivedAt);
    // A request with an invalid deadline needs no wait, because it is refused anyway.
    if (!callerDeadline.ok) return;
    const remainingMs = (callerDeadline.value ?? Infinity) - receivedAt;
    await waitReady(receivedAt + Math.min(maxReadyWaitMs, maxReadyWaitShare * remainingMs));
  }

  private async waitCertain(deadline: number): Promise<void> {
    const { clock, waitReady } = this.options;
    if (!this.identities.isUncertain || !waitReady) return;
    const now = clock.now();
    await waitReady(now + Math.min(maxReadyWaitMs, maxReadyWaitShare * (deadline - now)));
  }

  /** Finds the route and the deadline from the head of a request, before its body is read. */
  openRequest(head: RequestHead): Result<OpenedRequest> {
    const { activePreset, clock } = this.options;
    const { receivedAt } = head;
    const call = `${head.method} ${head.target}`;
    const fail = (
      kind: 'request_malformed' | 'host_not_ready' | 'route_unknown' | 'deadline_passed',
      detail: string,
    ) => ({ ok: false, failure: { kind, message: `${call}: ${detail}` } }) as const;
    if (!isOriginForm(head.target)) {
      return fail('request_malformed', 'expected a path that begins with / and has valid escapes');
    }
    if (!activePreset.routeTable) {
      return fail('host_not_ready', 'this host has not confirmed the active preset yet');
    }
    const path = head.target.split('?', 1)[0] ?? head.target;
    const host = head.headers.find(([name]) => name === 'host')?.[1];
    const found = activePreset.routeTable.findRoute(head.method, path, host);
    if (!found) return fail('route_unknown', 'no route of the active preset matches');
    const route = this.chooseService(found);
    const service = activePreset.state?.preset.services[route.service];
    if (!service) {
      return fail('route_unknown', `the active preset has no service "${route.service}"`);
    }
    const identity = this.identities.resolveIdentity({ ...head, route });
    if (!identity.ok) return identity;
    const deadline = computeDeadline({
      dialect: this.dialect,
      headers: head.headers,
      now: receivedAt,
      maxMs: route.deadlineMs,
    });
    if (!deadline.ok) return deadline;
    if (deadline.value <= clock.now()) {
      return fail('deadline_passed', 'the deadline passed before the request arrived');
    }
    const requestId = this.dialect.findRequestId(head.headers) ?? this.options.random.createId();
    return {
      ok: true,
      value: {
        ...{ route, service, requestId, receivedAt },
        identity: identity.value,
        deadline: deadline.value,
      },
    };
  }

  /** Answers one request. The promise never rejects. */
  async handleRequest(request: CallerRequest): Promise<CallerAnswer> {
    const { answer, attempts } = await this.runRequest(request).catch((error: Error) => ({
      answer: this.createInternalAnswer(request, error),
      attempts: 0,
    }));
    const { identity } = request;
    const team = identity.kind === 'team' ? identity.team.name : undefined;
    if (identity.kind !== 'unchecked') this.recordTeamResult(team, answer);
    this.options.log.info('requests: answered', {
      requestId: request.requestId,
      service: request.route.service,
      team,
      status: answer.status,
      outcome: answer.outcome,
      error: answer.errorKind,
      attempts,
      presetNumber: this.options.activePreset.state?.revision,
      tookMs: Math.round(this.options.clock.now() - request.receivedAt),
      leftMs: Math.round(request.deadline - this.options.clock.now()),
      returnMs: this.computeReturnMs(answer),
    });
    this.options.observer.recordRequest({
      service: request.route.service,
      startedAt: request.receivedAt,
      endedAt: this.options.clock.now(),
      status: answer.status,
      errorKind: answer.errorKind,
      attempts,
    });
    return answer;
  }

  private async runRequest(request: CallerRequest): Promise<EndedRequest> {
    // The key of the team may have been withdrawn while the body arrived, or during a pause.
    await this.waitCertain(request.deadline);
    const identity = this.identities.resolveIdentity(request);
    if (!identity.ok) return this.endRefused(identity.failure, request);
    const checked = { ...request, identity: identity.value };
    const decision = this.gates.admitRequest(checked);
    if (decision.kind === 'refused') return this.endRefused(decision.failure, checked);
    let mayHaveRun = true;
    try {
      const ended = await this.runAdmitted(checked);
      mayHaveRun = ended.mayHaveRun;
      return ended;
    } finally {
      decision.endAdmission(mayHaveRun);
    }
  }

  private runAdmitted(request: CallerRequest): Promise<EndedRequest> {
    const { repeat, key } = request.route;
    if (repeat === 'allowed') return this.runIdempotent(request);
    return key === 'none' ? this.runWithoutClaim(request) : this.runWithClaim(request);
  }

  private async runIdempotent(request: CallerRequest): Promise<EndedRequest> {
    const policy = new IdempotentRetryPolicy(this.addToBudget(request));
    const result = await this.options.dispatcher.dispatchRequest(request, request.service, policy);
    return this.endDispatched(result, request);
  }

  private chooseService(route: RouteSettings): RouteSettings {
    const service = route.split && this.splitter.chooseService(route.split);
    return service === undefined ? route : { ...route, service };
  }

  // The route uses no idempotency keys, so no claim coordinates the request with other hosts: only
  // this host makes sure that it runs the request at most once.
  private async runWithoutClaim(request: CallerRequest): Promise<EndedRequest> {
    const policy = new AtMostOnceRetryPolicy(this.addToBudget(request));
    const result = await this.options.dispatcher.dispatchRequest(request, request.service, policy);
    return this.endDispatched(result, request);
  }

  private async runWithClaim(request: CallerRequest): Promise<EndedRequest> {
    const key = this.readKey(request);
    // Avoids a claim and its release for a caller that has disconnected or whose deadline has
    // passed.
    const refusal = checkSendable(request, this.options.clock.now());
    if (refusal) return this.endRefused(refusal, request);
    if (!key.ok) return this.endRefused(key.failure, request);
    const claim = await this.options.claims.requestClaim({
      key: key.value,
      fingerprint: this.createFingerprint(request),
      deadline: request.deadline,
    });
    // Another request of the same key may have run, but not this one.
    if (claim.kind === 'refused') {
      return { answer: createFailureAnswer(claim.failure), attempts: 0, mayHaveRun: false };
    }
    if (claim.kind === 'replayed') {
      return { answer: this.replayAnswer(claim.answer), attempts: 0, mayHaveRun: false };
    }
    return this.endDispatched(await this.dispatchClaimed(request, claim.grantedClaim), request);
  }

  private endDispatched(result: DispatchResult, request: CallerRequest): EndedRequest {
    const { attempts, mayHaveRun } = result;
    return { answer: this.createAnswer(result, request), attempts, mayHaveRun };
  }

  private endRefused(failure: Failure, request: CallerRequest): EndedRequest {
    return { answer: this.createRefusal(failure, request), attempts: 0, mayHaveRun: false };
  }

  private async dispatchClaimed(
    request: CallerRequest,
    grantedClaim: GrantedClaim,
  ): Promise<DispatchResult> {
    const policy = new AtMostOnceRetryPolicy(this.addToBudget(request));
    let result: DispatchResult;
    try {
      result = await this.options.dispatcher.dispatchRequest(request, request.service, policy);
    } catch (error) {
      // A claim that is never completed would block its key until the claim expires.
      grantedClaim.completeUnknown();
      throw error;
    }
    if (result.outcome.kind === 'answered') {
      grantedClaim.completeRan(this.createStoredAnswer(result.outcome.answer));
    } else if (result.mayHaveRun) {
      grantedClaim.completeUnknown();
    } else {
      grantedClaim.completeNotRun();
    }
    return result;
  }

  private readKey(request: CallerRequest): Result<string> {
    const [key, ...others] = request.headers
      .filter(([name]) => name === 'idempotency-key')
      .map(([, value]) => value);
    if (others.length > 0) {
      const message = `${request.method} ${request.target}: header Idempotency-Key occurs ${others.length + 1} times: expected once`;
      return { ok: false, failure: { kind: 'key_invalid', message } };
    }
    if (key !== undefined) return { ok: true, value: key };
    if (request.route.key === 'generated') {
      return { ok: true, value: this.options.random.createKey(request.receivedAt) };
    }
    const failure: Failure = {
      kind: 'key_required',
      message: `${request.method} ${request.target}: header Idempotency-Key is missing: expected a UUID version 7`,
    };
    return { ok: false, failure };
  }

  private createFingerprint(request: CallerRequest): string {
    return createHash('sha256')
      .update(`${request.method} ${request.target}\n`)
      .update(request.body)
      .digest('hex');
  }

  private createStoredAnswer(answer: UpstreamAnswer): StoredAnswer {
    return {
      status: answer.status,
      headers: listEndToEndHeaders(answer.headers, this.dialect.reservedHeaders),
      body: Buffer.from(answer.body).toString('base64'),
    };
  }

  private replayAnswer(stored: StoredAnswer): CallerAnswer {
    return {
      status: stored.status,
      headers: stored.headers,
      body: Buffer.from(stored.body, 'base64'),
      outcome: decideAnswerOutcome(stored.status),
      errorKind: undefined,
    };
  }

  private createInternalAnswer({ method, target }: CallerRequest, error: Error): CallerAnswer {
    const message = `${method} ${target}: internal error of this host: ${error.message}`;
    this.options.log.error('requests: internal error while handling a request', {
      error: error.stack ?? error.message,
    });
    return createFailureAnswer({ kind: 'internal', message });
  }

  private createAnswer({ outcome }: DispatchResult, request: CallerRequest): CallerAnswer {
    if (outcome.kind === 'failed') return this.createRefusal(outcome.failure, request);
    return {
      status: outcome.answer.status,
      headers: listEndToEndHeaders(outcome.answer.headers, this.dialect.reservedHeaders),
      body: outcome.answer.body,
      isUnframed: outcome.answer.isUnframed,
      outcome: decideAnswerOutcome(outcome.answer.status),
      errorKind: undefined,
    };
  }

  /** Creates and logs the answer to a request that is refused before it is handled. */
  refuseRequest(failure: Failure, head: { readonly headers: readonly Header[] }): CallerAnswer {
    const { random, log, activePreset } = this.options;
    const answer = this.createRefusal(failure);
    const team = this.identities.findTeam(head.headers)?.name;
    if (this.identities.hasTeams) this.recordTeamResult(team, answer);
    log.info('requests: refused', {
      requestId: this.dialect.findRequestId(head.headers) ?? random.createId(),
      team,
      status: answer.status,
      outcome: answer.outcome,
      error: failure.kind,
      detail: failure.message,
      presetNumber: activePreset.state?.revision,
      returnMs: this.computeReturnMs(answer),
    });
    return answer;
  }

  // A refusal after which the caller may retry states when to retry, with jitter, so that not all
  // callers retry at the same time.
  private createRefusal(failure: Failure, request?: CallerRequest): CallerAnswer {
    const answer = createFailureAnswer(failure);
    const mayReturn = answer.status === 503 || answer.status === 429;
    if (!mayReturn || answer.outcome !== 'not-run') return answer;
    return { ...answer, retryAt: this.returnTimes.drawReturnTime(failure, request) };
  }

  // A failure after which the request may have run counts as admitted: an upstream received it.
  private recordTeamResult(team: string | undefined, { errorKind, outcome }: CallerAnswer): void {
    const refusal = outcome === 'not-run' ? errorKind : undefined;
    this.options.teamObserver?.recordResult({ team, refusal });
  }

  private computeReturnMs({ retryAt }: CallerAnswer): number | undefined {
    return retryAt === undefined ? undefined : Math.round(retryAt - this.options.clock.now());
  }

  private addToBudget(request: CallerRequest): RetryAllowance {
    const { route, service, requestId } = request;
    const budget = this.budgets.getBudget(route.service, requestId, getRank(request));
    budget.addRequest(service.retryShare);
    return budget;
  }
}
