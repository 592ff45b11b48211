import type ServiceLevelCounters from '../../domain/metrics/ServiceLevelCounters.ts';
import type Clock from '../../ports/Clock.ts';
import type LatencyRecorder from '../../ports/LatencyRecorder.ts';
import type { HostMeasurements } from '../../ports/MetricsLink.ts';
import type ActivePreset from '../requests/ActivePreset.ts';
import type RequestObserver from '../requests/RequestObserver.ts';
import type { AnsweredRequest } from '../requests/RequestObserver.ts';

/** Options of the observer. */
export interface ServiceLevelObserverOptions {
  readonly host: string;
  readonly clock: Clock;
  readonly activePreset: ActivePreset;
  readonly counters: ServiceLevelCounters;
  readonly latencies: LatencyRecorder;
}

/** Measures callers' requests against the objectives of the active preset. */
export default class ServiceLevelObserver implements RequestObserver {
  private readonly options: ServiceLevelObserverOptions;

  private readonly startedAt: number;

  constructor(options: ServiceLevelObserverOptions) {
    this.options = options;
    this.startedAt = options.clock.now();
  }

  recordRequest({ service, startedAt, endedAt, status }: AnsweredRequest): void {
    if (service === undefined) return;
    const settings = this.options.activePreset.state?.preset.services[service];
    if (!settings) return;
    const elapsedMs = endedAt - startedAt;
    this.options.latencies.recordLatency(service, elapsedMs);
    this.options.counters.recordRequest({ service, status, elapsedMs, endedAt }, settings);
  }

  takeSnapshot(): HostMeasurements {
    const { host, clock, counters, latencies } = this.options;
    const services = counters.listServices().map((service) => ({
      service,
      counts: counters.countRequests(service, clock.now()),
      histogram: latencies.encodeHistogram(service),
    }));
    return { host, startedAt: this.startedAt, services };
  }
}
