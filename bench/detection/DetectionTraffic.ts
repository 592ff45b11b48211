import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A fault of upstreams, reporters or links; times are in milliseconds since the start. */
export interface TrafficFault {
  readonly kind: 'slow' | 'wrong' | 'flapping' | 'reporter' | 'domain_cut' | 'cold' | 'herd';
  /** Indexes of the affected upstreams; all upstreams when omitted. */
  readonly upstreams?: readonly number[];
  readonly fromMs: number;
  readonly toMs?: number;
  /** Factor by which the latency is multiplied. */
  readonly factor?: number;
  /** Share of wrong or failed answers. */
  readonly share?: number;
  /** Duration of each faulty and each healthy phase of flapping, in milliseconds. */
  readonly periodMs?: number;
  /** Index of the faulty reporter, or of the failure domain whose reporters are cut off. */
  readonly from?: number;
}

/** Parameters of generated traffic. */
export interface TrafficOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly upstreams: number;
  /** Answers per second of each upstream to all hosts together. */
  readonly rate: number;
  readonly faults: readonly TrafficFault[];
}

/** The randomly drawn answer to one request; times are in milliseconds since the start. */
export interface TrafficAnswer {
  readonly reporter: number;
  readonly upstream: number;
  readonly startedAt: number;
  readonly isWrong: boolean;
  readonly latencyMs: number;
}

/** Number of failure domains; hosts are assigned to them round-robin by index. */
export const domainCount = 3;

// Noise: log-normal latencies with a median of 25 ms, 0.5% of them 10 to 20 times longer, and
// 0.1% of all answers failed.
const medianMs = 25;
const sigma = 0.5;
const tailShare = 0.005;
const noiseShare = 0.001;
const latencyTableSize = 16_384;

/** Generates the requests of a fleet with independent noise and the given faults. */
export default class DetectionTraffic {
  private readonly options: TrafficOptions;

  private readonly generator;

  private readonly latencies: Float64Array;

  private poissonMean = 0;

  private poissonLimit = 1;

  constructor(options: TrafficOptions) {
    this.options = options;
    this.generator = xoroshiro128plus(options.seed);
    this.latencies = Float64Array.from({ length: latencyTableSize }, () => this.drawLatency());
  }

  drawUniform(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Draws the requests that start in the interval, in milliseconds since the start, and calls
   * `onAnswer` with the answer to each. The weight of an upstream scales its traffic; without a
   * weight it is 1.
   */
  drawAnswers(
    from: number,
    to: number,
    weights: readonly number[],
    onAnswer: (answer: TrafficAnswer) => void,
  ): void {
    const { upstreams, rate, faults } = this.options;
    const active = faults.filter((fault) => fault.fromMs < to && (fault.toMs ?? Infinity) > from);
    for (let upstream = 0; upstream < upstreams; upstream += 1) {
      const mean = ((to - from) / 1000) * rate * (weights[upstream] ?? 1);
      const count = mean > 0 ? this.drawPoisson(mean) : 0;
      for (let index = 0; index < count; index += 1) {
        const startedAt = from + this.drawUniform() * (to - from);
        onAnswer(this.drawAnswer(upstream, startedAt, active));
      }
    }
  }

  private drawAnswer(
    upstream: number,
    startedAt: number,
    faults: readonly TrafficFault[],
  ): TrafficAnswer {
    const reporter = Math.floor(this.drawUniform() * this.options.hosts);
    const baseLatencyMs =
      this.latencies[Math.floor(this.drawUniform() * latencyTableSize)] ?? medianMs;
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
    const isWrong = this.drawUniform() < wrongShare;
    return { reporter, upstream, startedAt, isWrong, latencyMs: baseLatencyMs * factor };
  }

  private drawLatency(): number {
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.drawUniform())) * Math.cos(2 * Math.PI * this.drawUniform());
    const tailFactor = this.drawUniform() < tailShare ? 10 + 10 * this.drawUniform() : 1;
    return medianMs * Math.exp(sigma * normal) * tailFactor;
  }

  private drawPoisson(mean: number): number {
    if (mean !== this.poissonMean) {
      this.poissonMean = mean;
      this.poissonLimit = Math.exp(-mean);
    }
    const limit = this.poissonLimit;
    let count = 0;
    let product = this.drawUniform();
    while (product > limit) {
      count += 1;
      product *= this.drawUniform();
    }
    return count;
  }
}
