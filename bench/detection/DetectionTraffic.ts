import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A fault of upstreams, reporters or links; times are milliseconds since the begin. */
export interface TrafficFault {
  readonly kind: 'slow' | 'wrong' | 'flapping' | 'reporter' | 'domain_cut' | 'cold' | 'herd';
  /** Upstreams that the fault affects; all when it is missing. */
  readonly upstreams?: readonly number[];
  readonly fromMs: number;
  readonly toMs?: number;
  /** Factor of the latency. */
  readonly factor?: number;
  /** Share of wrong or failed answers. */
  readonly share?: number;
  /** Length of each bad and each good time of flapping. */
  readonly periodMs?: number;
  /** The faulty reporter, or the failure domain of reporters that is cut off. */
  readonly from?: number;
}

/** Parameters of generated traffic. */
export interface TrafficOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly upstreams: number;
  /** Answers a second at each upstream, over the whole fleet. */
  readonly rate: number;
  readonly faults: readonly TrafficFault[];
}

/** One request, as its answer and latency are drawn. */
export interface TrafficAnswer {
  readonly reporter: number;
  readonly upstream: number;
  readonly startedAt: number;
  readonly isWrong: boolean;
  readonly latencyMs: number;
}

/** Number of failure domains; host and upstream indexes are dealt out in turn. */
export const domainCount = 3;

// Noise: log-normal latencies with a median of 25 ms, 0.5% of them 10 to 20 times longer, and
// 0.1% of all answers failed.
const medianMs = 25;
const sigma = 0.5;
const tailShare = 0.005;
const noiseShare = 0.001;
const tableSize = 16_384;

/** Draws the requests of a fleet with independent noise and given faults. */
export default class DetectionTraffic {
  private readonly options: TrafficOptions;

  private readonly generator;

  private readonly latencies: Float64Array;

  private poissonMean = 0;

  private poissonLimit = 1;

  constructor(options: TrafficOptions) {
    this.options = options;
    this.generator = xoroshiro128plus(options.seed);
    this.latencies = Float64Array.from({ length: tableSize }, () => this.drawLatency());
  }

  next(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Draws the requests that start in the time and passes each on; the weight of an upstream scales
   * its traffic.
   */
  drawAnswers(
    from: number,
    to: number,
    weights: readonly number[],
    take: (answer: TrafficAnswer) => void,
  ): void {
    const { upstreams, rate, faults } = this.options;
    const active = faults.filter((fault) => fault.fromMs < to && (fault.toMs ?? Infinity) > from);
    for (let upstream = 0; upstream < upstreams; upstream += 1) {
      const mean = ((to - from) / 1000) * rate * (weights[upstream] ?? 1);
      const count = mean > 0 ? this.drawPoisson(mean) : 0;
      for (let index = 0; index < count; index += 1) {
        const startedAt = from + this.next() * (to - from);
        take(this.drawAnswer(upstream, startedAt, active));
      }
    }
  }

  private drawAnswer(
    upstream: number,
    startedAt: number,
    faults: readonly TrafficFault[],
  ): TrafficAnswer {
    const reporter = Math.floor(this.next() * this.options.hosts);
    const plain = this.latencies[Math.floor(this.next() * tableSize)] ?? medianMs;
    let wrongShare = noiseShare;
    let factor = 1;
    for (const fault of faults) {
      const { kind, share = 0, fromMs, periodMs = 1 } = fault;
      if (fault.upstreams && !fault.upstreams.includes(upstream)) continue;
      if (startedAt < fromMs || startedAt >= (fault.toMs ?? Infinity)) continue;
      if (kind === 'flapping' && Math.floor((startedAt - fromMs) / periodMs) % 2 === 1) continue;
      if (kind === 'reporter' && fault.from !== reporter) continue;
      if (kind === 'domain_cut' && fault.from !== reporter % domainCount) continue;
      wrongShare = Math.max(wrongShare, share);
      factor *= fault.factor ?? 1;
    }
    const isWrong = this.next() < wrongShare;
    return { reporter, upstream, startedAt, isWrong, latencyMs: plain * factor };
  }

  private drawLatency(): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.next())) * Math.cos(2 * Math.PI * this.next());
    const tail = this.next() < tailShare ? 10 + 10 * this.next() : 1;
    return medianMs * Math.exp(sigma * normal) * tail;
  }

  private drawPoisson(mean: number): number {
    if (mean !== this.poissonMean) {
      this.poissonMean = mean;
      this.poissonLimit = Math.exp(-mean);
    }
    const limit = this.poissonLimit;
    let count = 0;
    let product = this.next();
    while (product > limit) {
      count += 1;
      product *= this.next();
    }
    return count;
  }
}
