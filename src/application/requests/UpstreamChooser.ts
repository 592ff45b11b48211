import type Failure from '../../domain/errors/Failure.ts';
import type Balancer from '../../domain/requests/Balancer.ts';
import estimateLoad from '../../domain/requests/estimateLoad.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';
import type { UpstreamAccess } from '../../domain/statements/UpstreamStatements.ts';
import type Clock from '../../ports/Clock.ts';
import type ConnectionSource from '../../ports/ConnectionSource.ts';
import type RandomSource from '../../ports/RandomSource.ts';
import type CallerRequest from './CallerRequest.ts';
import type LoadSource from './LoadSource.ts';
import type UpstreamGate from './UpstreamGate.ts';
import type UpstreamPool from './UpstreamPool.ts';
import getOperation from './getOperation.ts';

// At or above this risk, an operation that must not repeat is kept from an upstream if a sound one
// takes requests again soon.
const likelyFailureRisk = 0.8;

/** Options of the chooser. */
export interface UpstreamChooserOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly balancer: Balancer;
  readonly pool: UpstreamPool;
  readonly loadTracker: Pick<LoadSource, 'readLoad'>;
  readonly failureDomain: string;
  /** Keeps requests from upstreams that state that they take none; unless set, all are open. */
  readonly gate?: UpstreamGate;
  /** Tells to which upstreams this host has idle connections; to none unless set. */
  readonly connections?: ConnectionSource;
  /** Half-life of a reported load, in milliseconds; 0 unless set. */
  readonly loadHalfLifeMs?: number;
  /** Estimated probability that a request to the upstream fails, from 0 to 1; 0 unless set. */
  readonly readRisk?: (upstream: UsableUpstream) => number;
}

/** Chooses upstreams for the attempts of a request among those that take requests now. */
export default class UpstreamChooser {
  private readonly options: UpstreamChooserOptions;

  constructor(options: UpstreamChooserOptions) {
    this.options = options;
  }

  /** Lists the upstreams that may receive the request now, without those that it has tried. */
  listUntried(request: CallerRequest, tried: ReadonlySet<string>): readonly UsableUpstream[] {
    return this.options.pool
      .listUsable(request.route.service)
      .filter((upstream) => !tried.has(upstream.record.upstream) && this.isOpen(upstream));
  }

  /**
   * Chooses the upstream for the next attempt; undefined if there is none, or if the caller should
   * rather come back.
   */
  chooseUpstream(
    request: CallerRequest,
    candidates: readonly UsableUpstream[],
    retryScarcity: number,
  ): UsableUpstream | undefined {
    const { balancer, clock, random, failureDomain, loadTracker, connections } = this.options;
    const { repeat } = request.route;
    const chosen = balancer.chooseUpstream({
      candidates,
      operation: getOperation(request.route),
      retryScarcity,
      readLoad: (upstream) => loadTracker.readLoad(request.route.service, upstream),
      now: clock.now(),
      random: () => random.next(),
      failureDomain,
      // A request that must not repeat gets a new connection.
      ...(connections &&
        repeat === 'allowed' && {
          hasIdleConnection: ({ record }) => connections.hasIdleConnection(record.address),
        }),
    });
    if (!chosen || repeat === 'allowed' || !this.isLikelyToFail(chosen)) return chosen;
    // An operation that fails once it was sent can't be tried again, so its caller had better come
    // back when a sound upstream takes requests again.
    const mayComeBack = this.listClosed(request.route.service).some(
      (upstream) => !this.isLikelyToFail(upstream) && this.getFreeAt(upstream) < request.deadline,
    );
    return mayComeBack ? undefined : chosen;
  }

  /**
   * Estimates when a request that is sent now will be answered, in service times: 1 while a slot is
   * free, and more the longer the queue.
   */
  estimateServiceTimes({ record }: UsableUpstream): number {
    const { loadTracker, clock, loadHalfLifeMs = 0 } = this.options;
    const known = loadTracker.readLoad(record.service, record.upstream);
    const load = estimateLoad(known, clock.now(), loadHalfLifeMs);
    return Math.max(1, (load + 1) / record.slots);
  }

  /** Describes why no upstream was chosen for a request that was not sent. */
  describeRefusal({ method, target, route }: CallerRequest): Failure {
    const usable = this.options.pool.listUsable(route.service);
    // An upstream that is leaving takes no requests later either.
    const closed = this.listClosed(route.service).filter(
      (upstream) => this.getFreeAt(upstream) < Infinity,
    );
    const call = `${method} ${target}: service "${route.service}"`;
    if (closed.length === 0) {
      return { kind: 'no_upstream', message: `${call} has no usable upstream` };
    }
    const sound = closed.filter((upstream) => !this.isLikelyToFail(upstream));
    const freeAt = (sound.length > 0 ? sound : closed).map((upstream) => this.getFreeAt(upstream));
    const limited = closed.filter((upstream) => this.decideAccess(upstream) === 'limited');
    const counts = `${limited.length} limited and ${closed.length - limited.length} paused`;
    const message = `${call}: ${counts} of ${usable.length} usable upstreams, the others are leaving or likely to fail`;
    const kind = limited.length > 0 ? 'upstreams_limited' : 'upstreams_paused';
    return { kind, message, retryAt: Math.min(...freeAt) };
  }

  /** Usable upstreams that take no request now, by what they stated. */
  private listClosed(service: string): readonly UsableUpstream[] {
    return this.options.pool.listUsable(service).filter((upstream) => !this.isOpen(upstream));
  }

  private isOpen(upstream: UsableUpstream): boolean {
    return this.decideAccess(upstream) === 'open';
  }

  private decideAccess({ record }: UsableUpstream): UpstreamAccess {
    return this.options.gate?.decideAccess(record) ?? 'open';
  }

  private getFreeAt({ record }: UsableUpstream): number {
    return this.options.gate?.getFreeAt(record) ?? -Infinity;
  }

  private isLikelyToFail(upstream: UsableUpstream): boolean {
    return (this.options.readRisk?.(upstream) ?? 0) >= likelyFailureRisk;
  }
}
