import type BurnReport from '../../domain/metrics/BurnReport.ts';
import type { ServiceBurnReport } from '../../domain/metrics/BurnReport.ts';
import computeBurn, { mergeCounts } from '../../domain/metrics/computeBurn.ts';
import type Preset from '../../domain/presets/Preset.ts';
import type Clock from '../../ports/Clock.ts';
import type { HistogramMerger } from '../../ports/LatencyRecorder.ts';
import type MetricsLink from '../../ports/MetricsLink.ts';
import type { HostMeasurements } from '../../ports/MetricsLink.ts';

const requestTimeoutMs = 2000;

/** Options of the reporter. */
export interface BurnReporterOptions {
  readonly clock: Clock;
  readonly merger: HistogramMerger;
  /** The entry hosts to ask. */
  readonly listEntryHosts: () => readonly string[];
  readonly openLink: (host: string) => MetricsLink | undefined;
  readonly readPreset: () => Preset | undefined;
}

/** Asks every entry host for its measurements and merges them. */
export default class BurnReporter {
  private readonly options: BurnReporterOptions;

  constructor(options: BurnReporterOptions) {
    this.options = options;
  }

  /** Hosts that do not answer within 2 s are listed in `missingHosts`. */
  async createReport(): Promise<BurnReport> {
    const { clock, listEntryHosts, readPreset } = this.options;
    const hosts = listEntryHosts();
    const deadline = clock.now() + requestTimeoutMs;
    const answers = await Promise.all(
      hosts.map((host) => this.requestMeasurements(host, deadline)),
    );
    const measurements = answers.filter((answer) => answer !== undefined);
    const services = Object.entries(readPreset()?.services ?? {}).map(([service, settings]) =>
      this.createServiceReport(service, settings.objective, measurements),
    );
    return {
      createdAt: clock.now(),
      services,
      hosts: measurements.map(({ host }) => host),
      missingHosts: hosts.filter((_, index) => answers[index] === undefined),
    };
  }

  private async requestMeasurements(
    host: string,
    deadline: number,
  ): Promise<HostMeasurements | undefined> {
    const link = this.options.openLink(host);
    const answer = await link?.requestMeasurements(deadline);
    link?.close();
    return answer?.ok ? answer.value : undefined;
  }

  private createServiceReport(
    service: string,
    objective: { readonly goodShare: number; readonly withinMs: number },
    measurements: readonly HostMeasurements[],
  ): ServiceBurnReport {
    const measured = measurements
      .flatMap((host) => host.services)
      .filter((item) => item.service === service);
    const counts = mergeCounts(measured.map((item) => item.counts));
    return {
      service,
      ...objective,
      ...computeBurn(counts, objective.goodShare),
      counts,
      latency: this.options.merger.mergeHistograms(measured.map((item) => item.histogram)),
    };
  }
}
