import type { ServiceSettings } from '../presets/Preset.ts';
import { burnWindowMs } from './BurnWindow.ts';
import type { WindowCounts } from './BurnWindow.ts';
import SlidingCounts from './SlidingCounts.ts';

const minuteMs = 60_000;
const halfHourMs = 1_800_000;

interface ServiceCounts {
  readonly minutes: SlidingCounts;
  readonly halfHours: SlidingCounts;
}

/** The properties of a caller's request that its service-level objective depends on. */
export interface MeasuredRequest {
  readonly service: string;
  readonly status: number;
  readonly elapsedMs: number;
  readonly endedAt: number;
}

/** Counts good and bad requests of each service on this host since the process started. */
export default class ServiceLevelCounters {
  private readonly services = new Map<string, ServiceCounts>();

  /** A request is bad when it was answered with 5xx or later than the objective allows. */
  recordRequest(request: MeasuredRequest, settings: ServiceSettings): void {
    const isGood = request.status < 500 && request.elapsedMs <= settings.objective.withinMs;
    const counts = this.getCounts(request.service);
    counts.minutes.addRequest(isGood, request.endedAt);
    counts.halfHours.addRequest(isGood, request.endedAt);
  }

  listServices(): readonly string[] {
    return [...this.services.keys()].sort();
  }

  countRequests(service: string, now: number): WindowCounts {
    const { minutes, halfHours } = this.getCounts(service);
    return {
      '5m': minutes.countRequests(burnWindowMs['5m'], now),
      '1h': minutes.countRequests(burnWindowMs['1h'], now),
      '6h': halfHours.countRequests(burnWindowMs['6h'], now),
      '3d': halfHours.countRequests(burnWindowMs['3d'], now),
    };
  }

  private getCounts(service: string): ServiceCounts {
    const known = this.services.get(service);
    if (known) return known;
    const counts = {
      minutes: new SlidingCounts({ slotMs: minuteMs, slots: burnWindowMs['1h'] / minuteMs }),
      halfHours: new SlidingCounts({ slotMs: halfHourMs, slots: burnWindowMs['3d'] / halfHourMs }),
    };
    this.services.set(service, counts);
    return counts;
  }
}
