import type Failure from '../../domain/errors/Failure.ts';
import type Balancer from '../../domain/requests/Balancer.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';
import type Clock from '../../ports/Clock.ts';
import type RandomSource from '../../ports/RandomSource.ts';
import type CallerRequest from './CallerRequest.ts';
import type LoadSource from './LoadSource.ts';
import type UpstreamLimiter from './UpstreamLimiter.ts';
import type UpstreamPool from './UpstreamPool.ts';

// At or above this risk, an operation that must not repeat is kept from an upstream if a sound one
// has room under its limit soon.
const likelyFailureRisk = 0.8;

/** Options of the chooser. */
export interface UpstreamChooserOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly balancer: Balancer;
  readonly pool: UpstreamPool;
  readonly loadTracker: Pick<LoadSource, 'readLoad'>;
  readonly failureDomain: string;
  /** Limits that upstreams state; none unless set. */
  readonly limiter?: UpstreamLimiter;
  /** Estimated probability that a request to the upstream fails, from 0 to 1; 0 unless set. */
  readonly readRisk?: (upstream: UsableUpstream) => number;
}

/** Chooses upstreams for the attempts of a request, within the limits of the upstreams. */
export default class UpstreamChooser {
  private readonly options: UpstreamChooserOptions;

  constructor(options: UpstreamChooserOptions) {
    this.options = options;
  }

  /** Lists the upstreams that may receive the request now, without those that it has tried. */
  listUntried(request: CallerRequest, tried: ReadonlySet<string>): readonly UsableUpstream[] {
    const { pool, limiter } = this.options;
    return pool
      .listUsable(request.route.service)
      .filter(({ record }) => !tried.has(record.upstream) && (limiter?.mayUse(record) ?? true));
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
    const { balancer, clock, random, failureDomain, loadTracker } = this.options;
    const chosen = balancer.chooseUpstream({
      candidates,
      retryScarcity,
      readLoad: (upstream) => loadTracker.readLoad(request.route.service, upstream),
      now: clock.now(),
      random: () => random.next(),
      failureDomain,
    });
    const { repeat } = request.route;
    if (!chosen || repeat === 'allowed' || !this.isLikelyToFail(chosen)) return chosen;
    // An operation that fails once it was sent can't be tried again, so its caller had better come
    // back when a limit allows a request to a sound upstream.
    const mayComeBack = this.listLimited(request.route.service).some(
      (upstream) => !this.isLikelyToFail(upstream) && this.getFreeAt(upstream) < request.deadline,
    );
    return mayComeBack ? undefined : chosen;
  }

  /** Describes why no upstream was chosen for a request that was not sent. */
  describeRefusal({ method, target, route }: CallerRequest): Failure {
    const usable = this.options.pool.listUsable(route.service);
    const limited = this.listLimited(route.service);
    const call = `${method} ${target}: service "${route.service}"`;
    if (limited.length === 0) {
      return { kind: 'no_upstream', message: `${call} has no usable upstream` };
    }
    const sound = limited.filter((upstream) => !this.isLikelyToFail(upstream));
    const freeAt = (sound.length > 0 ? sound : limited).map((upstream) => this.getFreeAt(upstream));
    const message = `${call}: ${limited.length} of ${usable.length} usable upstreams have the requests that their limits allow, the others are likely to fail`;
    return { kind: 'upstreams_limited', message, retryAt: Math.min(...freeAt) };
  }

  /** Usable upstreams that may get no request now because of their limits. */
  private listLimited(service: string): readonly UsableUpstream[] {
    const { pool, limiter } = this.options;
    if (!limiter) return [];
    return pool.listUsable(service).filter(({ record }) => !limiter.mayUse(record));
  }

  private getFreeAt({ record }: UsableUpstream): number {
    return this.options.limiter?.getFreeAt(record) ?? -Infinity;
  }

  private isLikelyToFail(upstream: UsableUpstream): boolean {
    return (this.options.readRisk?.(upstream) ?? 0) >= likelyFailureRisk;
  }
}
