// Weight of the newest latency once there are many.
const smoothingFactor = 0.05;
// Standard deviation of the logarithm of latencies, assumed before any were recorded, and how many
// latencies the assumption counts for.
const assumedDeviation = 0.4;
const assumedCount = 4;
// With a normal distribution of the logarithm, one latency in a hundred is longer.
const longDeviations = 2.3;
// With a wide distribution, this multiple of the average is less.
const longFactor = 3.5;
// Hosts that lack processor time handle answers late by tens of milliseconds.
const minLongMs = 100;

/** Estimates the distribution of the latencies of one kind of request. */
export default class LatencyEstimate {
  private count = 0;

  private averageMs = 0;

  private averageLog = 0;

  private variance = assumedDeviation ** 2;

  /** Records the latency of a good answer, in milliseconds. */
  recordLatency(latencyMs: number): void {
    const log = Math.log(Math.max(1, latencyMs));
    this.count += 1;
    const factor = Math.max(smoothingFactor, 1 / this.count);
    this.averageMs += factor * (latencyMs - this.averageMs);
    const deviation = this.count === 1 ? 0 : log - this.averageLog;
    this.averageLog = this.count === 1 ? log : this.averageLog + factor * deviation;
    const varianceFactor = Math.max(smoothingFactor, 1 / (this.count + assumedCount));
    this.variance += varianceFactor * (deviation ** 2 - this.variance);
  }

  /** Latency that half of the good answers exceed, in milliseconds; 0 before the first answer. */
  get typicalMs(): number {
    return this.count === 0 ? 0 : Math.exp(this.averageLog);
  }

  /** Latency that few good answers exceed, in milliseconds; undefined before the first answer. */
  get longMs(): number | undefined {
    if (this.count === 0) return undefined;
    const quantileMs = Math.exp(this.averageLog + longDeviations * Math.sqrt(this.variance));
    return Math.max(minLongMs, Math.min(quantileMs, longFactor * this.averageMs));
  }
}
