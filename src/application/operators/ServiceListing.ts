import type { DetectionPreference } from '../../domain/presets/Preset.ts';

/** A service of the active preset and the current state of its upstreams. */
export interface ServiceStatus {
  readonly service: string;
  /** Number of upstreams the service normally has. */
  readonly upstreams: number;
  readonly floor: number;
  readonly detection: DetectionPreference;
  /** Number of upstreams that announced the state `serving`. */
  readonly serving: number;
  /** Number of upstreams that are ejected now. */
  readonly ejected: number;
}

/** The services of the active preset. */
export default interface ServiceListing {
  listServices(): readonly ServiceStatus[];
}
