import type Failure from '../../domain/errors/Failure.ts';
import type { ServiceSettings } from '../../domain/presets/Preset.ts';
import type RetryPolicy from '../../domain/requests/RetryPolicy.ts';
import SheddingTracker from '../../domain/requests/SheddingTracker.ts';
import AttemptSender from './AttemptSender.ts';
import type { AttemptSenderOptions } from './AttemptSender.ts';
import type CallerRequest from './CallerRequest.ts';
import RequestDispatch from './RequestDispatch.ts';
import type { DispatchResult } from './RequestDispatch.ts';
import type StopLimiter from './StopLimiter.ts';
import UpstreamChooser from './UpstreamChooser.ts';
import type { UpstreamChooserOptions } from './UpstreamChooser.ts';
import checkSendable from './checkSendable.ts';
import getOperation from './getOperation.ts';

/** Options of the dispatcher. */
export interface UpstreamDispatcherOptions extends AttemptSenderOptions, UpstreamChooserOptions {
  readonly loadTracker: AttemptSenderOptions['loadTracker'];
  /** Limits attempts while this host stops; unless set, there is no limit. */
  readonly stopLimiter?: StopLimiter;
  /** Time that few answers to an operation exceed, in milliseconds; `Infinity` unless set. */
  readonly estimateLongMs?: (operation: string) => number;
  /** Time that half of the answers to an operation take, in milliseconds; 0 unless set. */
  readonly estimateTypicalMs?: (operation: string) => number;
}

/** Dispatches requests to upstreams. */
export default class UpstreamDispatcher {
  private readonly options: UpstreamDispatcherOptions;

  private readonly sheddingTrackers = new Map<string, SheddingTracker>();

  private readonly chooser: UpstreamChooser;

  private readonly sender: AttemptSender;

  constructor(options: UpstreamDispatcherOptions) {
    this.options = options;
    this.chooser = new UpstreamChooser(options);
    this.sender = new AttemptSender(options);
  }

  /**
   * Sends the request until an attempt succeeds or no further attempt is allowed. The promise never
   * rejects.
   */
  dispatchRequest(
    request: CallerRequest,
    service: ServiceSettings,
    policy: RetryPolicy,
  ): Promise<DispatchResult> {
    const { clock, estimateLongMs, estimateTypicalMs, stopLimiter } = this.options;
    const { chooser, sender } = this;
    const operation = getOperation(request.route);
    const sheddingTracker = this.getSheddingTracker(request.route.service);
    return new RequestDispatch({
      request,
      service,
      policy,
      chooser,
      sender,
      findRefusal: () => this.findRefusal(request, operation),
      mayTryAgain: () => this.mayTryAgain(request, operation),
      // A host that stops interrupts no request.
      mayHedge: () => !stopLimiter?.isStopping,
      estimateLongMs: () => estimateLongMs?.(operation) ?? Infinity,
      estimateTypicalMs: () => estimateTypicalMs?.(operation) ?? 0,
      clock,
      onEnd: (upstream, ended) => {
        if (ended.outcome.kind === 'failed' && ended.shedding === 'none') return;
        sheddingTracker.recordAnswer(upstream, ended.shedding === 'full', clock.now());
      },
    }).run();
  }

  /** Time until an upstream of the request's service is expected to have a free slot, in ms. */
  estimateWaitMs(request: CallerRequest): number {
    const typicalMs = this.options.estimateTypicalMs?.(getOperation(request.route)) ?? 0;
    const serviceTimes = this.chooser
      .listUntried(request, new Set())
      .map((upstream) => this.chooser.estimateServiceTimes(upstream));
    return serviceTimes.length === 0 ? 0 : (Math.min(...serviceTimes) - 1) * typicalMs;
  }

  /** Why the request must not be sent now, or undefined while it may be sent. */
  private findRefusal(request: CallerRequest, operation: string): Failure | undefined {
    const refusal = checkSendable(request, this.options.clock.now());
    if (refusal || (this.options.stopLimiter?.mayStart(operation) ?? true)) return refusal;
    const message = `${request.method} ${request.target}: this host is stopping and would most likely end before the answer`;
    return { kind: 'host_stopping', message };
  }

  private mayTryAgain(request: CallerRequest, operation: string): boolean {
    if (this.findRefusal(request, operation)) return false;
    const { service } = request.route;
    const upstreams = this.options.pool.listUsable(service).map(({ record }) => record.upstream);
    const now = this.options.clock.now();
    return !this.getSheddingTracker(service).isServiceFull(upstreams, now);
  }

  private getSheddingTracker(service: string): SheddingTracker {
    const known = this.sheddingTrackers.get(service);
    if (known) return known;
    const sheddingTracker = new SheddingTracker();
    this.sheddingTrackers.set(service, sheddingTracker);
    return sheddingTracker;
  }
}
