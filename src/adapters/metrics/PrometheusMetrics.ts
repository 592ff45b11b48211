import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

import type RequestObserver from '../../application/requests/RequestObserver.ts';
import type { AnsweredRequest } from '../../application/requests/RequestObserver.ts';
import type MetricsSource from '../../ports/MetricsSource.ts';
import TeamRequestCounter from './TeamRequestCounter.ts';

const durationBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** A gauge whose value is read when the metrics are rendered. */
export interface GaugeSource {
  /** Name without the prefix `pistachiohoist_`. */
  readonly name: string;
  readonly help: string;
  readonly readValue: () => number;
}

/** Collects the metrics of this host and renders them for Prometheus. */
export default class PrometheusMetrics implements RequestObserver, MetricsSource {
  private readonly registry = new Registry();

  /** Counts requests by team. */
  readonly teams = new TeamRequestCounter(this.registry);

  private readonly requests: Counter<'service' | 'status' | 'error'>;

  private readonly attempts: Counter<'service'>;

  private readonly durations: Histogram<'service'>;

  /**
   * `hasProcessMetrics` sets whether to collect the metrics of the Node.js process; collecting them
   * wakes the process often.
   */
  constructor(
    gauges: readonly GaugeSource[],
    { hasProcessMetrics = true }: { readonly hasProcessMetrics?: boolean } = {},
  ) {
    const registers = [this.registry];
    if (hasProcessMetrics) collectDefaultMetrics({ register: this.registry });
    this.requests = new Counter({
      name: 'pistachiohoist_requests_total',
      help: 'Requests of callers by service, status and error kind.',
      labelNames: ['service', 'status', 'error'],
      registers,
    });
    this.attempts = new Counter({
      name: 'pistachiohoist_upstream_attempts_total',
      help: 'Attempts at upstreams by service.',
      labelNames: ['service'],
      registers,
    });
    this.durations = new Histogram({
      name: 'pistachiohoist_request_duration_seconds',
      help: 'Time from the head of a request to its answer.',
      labelNames: ['service'],
      buckets: durationBucketsSeconds,
      registers,
    });
    gauges.forEach((gauge) => this.addGauge(gauge));
  }

  recordRequest(request: AnsweredRequest): void {
    const service = request.service ?? '';
    const error = request.errorKind ?? '';
    this.requests.inc({ service, status: String(request.status), error });
    this.attempts.inc({ service }, request.attempts);
    this.durations.observe({ service }, (request.endedAt - request.startedAt) / 1000);
  }

  /** Returns text in the Prometheus exposition format. */
  renderMetrics(): Promise<string> {
    return this.registry.metrics();
  }

  private addGauge({ name, help, readValue }: GaugeSource): void {
    const gauge: Gauge = new Gauge({
      name: `pistachiohoist_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(readValue()),
    });
  }
}
