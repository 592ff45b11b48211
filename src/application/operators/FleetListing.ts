import type EjectionDirectory from '../../domain/detection/EjectionDirectory.ts';
import type HostDirectory from '../../domain/membership/HostDirectory.ts';
import type HostRecord from '../../domain/membership/HostRecord.ts';
import type UpstreamDirectory from '../../domain/membership/UpstreamDirectory.ts';
import type Preset from '../../domain/presets/Preset.ts';
import type Clock from '../../ports/Clock.ts';
import type HostListing from './HostListing.ts';
import type ServiceListing from './ServiceListing.ts';
import type { ServiceStatus } from './ServiceListing.ts';
import type UpstreamListing from './UpstreamListing.ts';
import type { UpstreamStatus } from './UpstreamListing.ts';

/** Options of the listing. */
export interface FleetListingOptions {
  readonly clock: Clock;
  readonly hosts: HostDirectory;
  readonly upstreams: UpstreamDirectory;
  readonly ejections: EjectionDirectory;
  readonly readPreset: () => Preset | undefined;
}

/** Lists hosts, upstreams and services from the directories of this host. */
export default class FleetListing implements HostListing, UpstreamListing, ServiceListing {
  private readonly options: FleetListingOptions;

  constructor(options: FleetListingOptions) {
    this.options = options;
  }

  listHosts(): readonly HostRecord[] {
    return this.options.hosts.listRecords(this.options.clock.now());
  }

  listUpstreams(): readonly UpstreamStatus[] {
    const { clock, upstreams, ejections } = this.options;
    const now = clock.now();
    const getName = ({ service, upstream }: UpstreamStatus): string => `${service}/${upstream}`;
    return upstreams
      .listRecords(now)
      .map(({ service, upstream, address, failureDomain, slots, state }) => {
        const ejection = ejections
          .listEjections(service, now)
          .find((ejected) => ejected.upstream === upstream);
        const ejectedUntil = ejection?.deadline ?? 0;
        return { service, upstream, address, failureDomain, slots, state, ejectedUntil };
      })
      .sort((left, right) => (getName(left) < getName(right) ? -1 : 1));
  }

  listServices(): readonly ServiceStatus[] {
    const services = this.options.readPreset()?.services ?? {};
    const upstreams = this.listUpstreams();
    return Object.entries(services).map(([service, settings]) => {
      const serviceUpstreams = upstreams.filter((upstream) => upstream.service === service);
      return {
        service,
        upstreams: settings.upstreams,
        floor: settings.floor,
        detection: settings.detection,
        serving: serviceUpstreams.filter(({ state }) => state === 'serving').length,
        ejected: serviceUpstreams.filter(({ ejectedUntil }) => ejectedUntil > 0).length,
      };
    });
  }
}
