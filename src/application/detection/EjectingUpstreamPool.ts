import chooseEjected from '../../domain/detection/chooseEjected.ts';
import computeWeight from '../../domain/detection/computeWeight.ts';
import type EjectionDirectory from '../../domain/detection/EjectionDirectory.ts';
import type UpstreamRecord from '../../domain/membership/UpstreamRecord.ts';
import type UpstreamSource from '../../domain/membership/UpstreamSource.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';
import type Clock from '../../ports/Clock.ts';
import type ActivePreset from '../requests/ActivePreset.ts';
import type UpstreamPool from '../requests/UpstreamPool.ts';

/** Options of the pool. */
export interface EjectingUpstreamPoolOptions {
  readonly clock: Clock;
  readonly activePreset: ActivePreset;
  readonly upstreams: UpstreamSource;
  readonly ejections: EjectionDirectory;
}

/** Upstreams that are serving according to this host's directory, except the ejected ones. */
export default class EjectingUpstreamPool implements UpstreamPool {
  private readonly options: EjectingUpstreamPoolOptions;

  constructor(options: EjectingUpstreamPoolOptions) {
    this.options = options;
  }

  listUsable(service: string): readonly UsableUpstream[] {
    const { clock, activePreset, upstreams, ejections } = this.options;
    const settings = activePreset.state?.preset.services[service];
    if (!settings) return [];
    const now = clock.now();
    // Leases are not checked here, because only the directory decides which of them are valid: on a
    // host that is partitioned from all its peers, the directory keeps records whose leases have
    // expired.
    const serving = upstreams
      .listUpstreams(service, now)
      .filter(({ state }) => state === 'serving');
    const ejected = chooseEjected({
      serving,
      ejections: ejections.listEjections(service, now),
      floor: settings.floor,
    });
    const probations = ejections.listProbations(service, now);
    return serving
      .filter(({ upstream }) => !ejected.has(upstream))
      .map((record) => {
        const onProbation = probations.some(
          ({ upstream, incarnation }) =>
            upstream === record.upstream && incarnation === record.incarnation,
        );
        const weight = computeWeight({ record, onProbation, rampMs: settings.rampMs, now });
        return { record, weight };
      });
  }

  isUsable({ service, upstream, incarnation }: UpstreamRecord): boolean {
    return this.listUsable(service).some(
      ({ record }) => record.upstream === upstream && record.incarnation === incarnation,
    );
  }
}
