import type { ListenAddress } from './DaemonSettings.ts';

/** Bounds of the retries of a service, summed over all entry hosts. */
export interface FleetRetrySettings {
  /** Retries for each request. */
  readonly share: number;
  /** Retries beyond the share in any window. */
  readonly extra: number;
  readonly windowMs: number;
}

interface CommonSettings {
  readonly host: string;
  readonly failureDomain: string;
  /** All failure domains of the fleet. */
  readonly failureDomains: readonly string[];
  /** Operators' addresses of some control hosts. */
  readonly seeds: readonly ListenAddress[];
  readonly peerKey: string;
  readonly logLevel: 'error' | 'warn' | 'info' | 'debug';
}

/** Settings of an entry host of a fleet that is found through seeds. */
export interface FleetEntrySettings extends CommonSettings {
  readonly role: 'entry';
  readonly listen: {
    readonly callers: ListenAddress;
    readonly platform: ListenAddress;
    readonly peers: ListenAddress;
    readonly metrics: ListenAddress;
  };
  readonly retries: FleetRetrySettings;
  /** Time between `/ready` turning 503 and the callers' listener closing, in milliseconds. */
  readonly stopGraceMs: number;
  /** What a KiB from another failure domain costs; a lost request costs 4. */
  readonly otherDomainPrice: number;
  /** How long a suspicion of an upstream counts, in milliseconds. */
  readonly suspicionMs: number;
}

/** Settings of a control host of a fleet that is found through seeds. */
export interface FleetControlSettings extends CommonSettings {
  readonly role: 'control';
  readonly listen: {
    readonly operators: ListenAddress;
    readonly peers: ListenAddress;
    readonly metrics: ListenAddress;
  };
  readonly dataFolder: string;
  /** Whether this host may form a new control group with the other seeds. */
  readonly formsGroup: boolean;
  /** Control hosts that may be lost at once without losing what was accepted. */
  readonly lostHosts: number;
  /** An upstream that says nothing for this long is taken for gone, in milliseconds. */
  readonly upstreamSilenceMs: number;
}

/** Checked settings of one daemon of a fleet that is found through seeds. */
type FleetSettings = FleetEntrySettings | FleetControlSettings;

export type { FleetSettings as default };
