import type Failure from '../../domain/errors/Failure.ts';
import type { ServiceSettings } from '../../domain/presets/Preset.ts';
import type { AnswerClass } from '../../domain/requests/AnswerObservation.ts';
import type Balancer from '../../domain/requests/Balancer.ts';
import type RetryPolicy from '../../domain/requests/RetryPolicy.ts';
import type { UpstreamEnd } from '../../domain/requests/UpstreamEnd.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';
import type Clock from '../../ports/Clock.ts';
import type RandomSource from '../../ports/RandomSource.ts';
import type UpstreamClient from '../../ports/UpstreamClient.ts';
import type { UpstreamAnswer, UpstreamResult } from '../../ports/UpstreamClient.ts';
import type AnswerObserver from './AnswerObserver.ts';
import type CallerRequest from './CallerRequest.ts';
import type LoadTracker from './LoadTracker.ts';
import type UpstreamPool from './UpstreamPool.ts';
import listEndToEndHeaders from './listEndToEndHeaders.ts';
import describeUpstreamFailure from './describeUpstreamFailure.ts';

/** What the dispatcher needs. */
export interface UpstreamDispatcherOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly upstreamClient: UpstreamClient;
  readonly balancer: Balancer;
  readonly pool: UpstreamPool;
  readonly observer: AnswerObserver;
  readonly loadTracker: LoadTracker;
  readonly failureDomain: string;
}

/** How the last attempt of a request ended. */
export interface DispatchEnd {
  readonly end: UpstreamEnd;
  readonly attempts: number;
  readonly outcome:
    | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
    | { readonly kind: 'failed'; readonly failure: Failure };
}

interface Attempt {
  readonly end: UpstreamEnd;
  readonly outcome: DispatchEnd['outcome'];
}

const answerClasses: Readonly<Record<string, AnswerClass>> = {
  timed_out: 'timed_out',
  reset: 'failed',
  truncated: 'truncated',
  mismatched: 'mismatched',
  too_large: 'good',
  cancelled: 'cancelled',
  unreachable: 'unreachable',
  forbidden: 'cancelled',
  deadline_passed: 'cancelled',
};

function hasNotRun(answer: UpstreamAnswer): boolean {
  return answer.headers.some(
    ([name, value]) => name === 'pistachiohoist-outcome' && value === 'not-run',
  );
}

function readReportedLoad(answer: UpstreamAnswer): number | undefined {
  const text = answer.headers.find(([name]) => name === 'pistachiohoist-load')?.[1];
  return text !== undefined && /^\d{1,6}$/.test(text) ? Number(text) : undefined;
}

function decideEnd(result: UpstreamResult): UpstreamEnd {
  if (result.kind === 'answered') {
    if (hasNotRun(result.answer)) return 'not_run';
    return result.answer.status >= 500 ? 'faulty_answer' : 'good_answer';
  }
  if (result.kind === 'not_sent') return result.reason === 'unreachable' ? 'not_run' : 'given_up';
  return result.reason === 'cancelled' || result.reason === 'timed_out' ? 'given_up' : 'unknown';
}

function decideAnswerClass(result: UpstreamResult): AnswerClass {
  if (result.kind !== 'answered') return answerClasses[result.reason] ?? 'failed';
  if (hasNotRun(result.answer)) return 'shed';
  return result.answer.status >= 500 ? 'failed' : 'good';
}

/** Sends a request to chosen upstreams, one after another, as far as the retry policy allows. */
export default class UpstreamDispatcher {
  private readonly options: UpstreamDispatcherOptions;

  constructor(options: UpstreamDispatcherOptions) {
    this.options = options;
  }

  /** Never rejects. */
  async dispatchRequest(
    request: CallerRequest,
    service: ServiceSettings,
    policy: RetryPolicy,
  ): Promise<DispatchEnd> {
    const tried = new Set<string>();
    let last: Attempt | undefined;
    while (last === undefined || policy.mayRetry(last.end)) {
      const chosen = this.chooseUpstream(request.route.service, tried);
      if (!chosen) break;
      tried.add(chosen.record.upstream);
      last = await this.sendAttempt(request, service, chosen);
    }
    if (last) return { ...last, attempts: tried.size };
    const message = `${request.method} ${request.target}: service "${request.route.service}" has no usable upstream`;
    const outcome = { kind: 'failed', failure: { kind: 'no_upstream', message } } as const;
    return { end: 'not_run', attempts: 0, outcome };
  }

  private chooseUpstream(service: string, tried: ReadonlySet<string>): UsableUpstream | undefined {
    const { balancer, clock, random, pool, failureDomain, loadTracker } = this.options;
    return balancer.chooseUpstream({
      candidates: pool.listUsable(service).filter(({ record }) => !tried.has(record.upstream)),
      readLoad: (upstream) => loadTracker.readLoad(service, upstream),
      now: clock.now(),
      random: () => random.next(),
      failureDomain,
    });
  }

  private async sendAttempt(
    request: CallerRequest,
    service: ServiceSettings,
    { record }: UsableUpstream,
  ): Promise<Attempt> {
    const { clock, random, upstreamClient, observer, loadTracker } = this.options;
    const requestId = random.createId();
    const startedAt = clock.now();
    const names = { service: record.service, upstream: record.upstream };
    observer.recordStart({ ...names, requestId, startedAt });
    loadTracker.recordStart(record.service, record.upstream);
    const result = await upstreamClient.sendRequest({
      address: record.address,
      method: request.method,
      path: request.target,
      headers: listEndToEndHeaders(request.headers),
      body: request.body,
      requestId,
      deadline: request.deadline,
      maxAnswerBytes: request.route.maxAnswerBytes,
      echoRequestId: service.echoRequestId,
      signal: request.signal,
      mayDispatch: () => !request.signal.aborted && clock.now() < request.deadline,
    });
    const endedAt = clock.now();
    const reportedLoad = result.kind === 'answered' ? readReportedLoad(result.answer) : undefined;
    loadTracker.recordEnd({ ...names, reportedLoad, now: endedAt });
    const answerClass = decideAnswerClass(result);
    observer.recordEnd(requestId, { ...names, answerClass, startedAt, endedAt, reportedLoad });
    const end = decideEnd(result);
    if (result.kind === 'answered' && end !== 'not_run') {
      return { end, outcome: { kind: 'answered', answer: result.answer } };
    }
    const failure = describeUpstreamFailure(request, record, result);
    return { end, outcome: { kind: 'failed', failure } };
  }
}
