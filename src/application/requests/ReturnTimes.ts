import ReturnOrder from '../../domain/admission/ReturnOrder.ts';
import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type Clock from '../../ports/Clock.ts';
import type RandomSource from '../../ports/RandomSource.ts';
import type CallerRequest from './CallerRequest.ts';
import drawRetryTime from './drawRetryTime.ts';
import getRank from './getRank.ts';

/** Kinds of refusals for want of room at the upstreams. */
const roomKinds: ReadonlySet<ErrorKind> = new Set(['upstream_refused']);

/** Options of the return times. */
export interface ReturnTimesOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Time until an upstream of the request's service is expected to have a free slot, in ms. */
  readonly estimateWaitMs: (request: CallerRequest) => number;
}

/** Decides when the callers of refused requests should come back. */
export default class ReturnTimes {
  private readonly options: ReturnTimesOptions;

  /** By service; the active presets bound their number. */
  private readonly orders = new Map<string, ReturnOrder>();

  constructor(options: ReturnTimesOptions) {
    this.options = options;
  }

  /**
   * Draws the instant for a refused request. The order of ranks applies to refusals for want of
   * room, if the request has a rank; `request` is undefined for one that was not opened.
   */
  drawReturnTime(failure: Failure, request?: CallerRequest): number {
    const { clock, random, estimateWaitMs } = this.options;
    const now = clock.now();
    const rank = request && getRank(request);
    if (!rank || !roomKinds.has(failure.kind)) return drawRetryTime(failure, now, random);
    const waitMs = estimateWaitMs(request);
    const { route, deadline } = request;
    const order = this.orders.get(route.service) ?? new ReturnOrder();
    this.orders.set(route.service, order);
    return order.drawReturnTime({ rank, deadline, waitMs, now, random: random.next() });
  }
}
