import type { QuotaSettings } from '../teams/computeCreditLimits.ts';
import type { ListenAddress } from './DaemonSettings.ts';

/** Limits on the retries of a service, over all entry hosts together. */
export interface FleetRetrySettings {
  /** Retries allowed for each request. */
  readonly share: number;
  /** Retries allowed beyond the share in any window. */
  readonly extra: number;
  readonly windowMs: number;
}

interface CommonSettings {
  readonly host: string;
  readonly failureDomain: string;
  /** All failure domains of the fleet. */
  readonly failureDomains: readonly string[];
  /** Addresses of the operators listeners of some control hosts. */
  readonly seeds: readonly ListenAddress[];
  readonly peerKey: string;
  readonly logLevel: 'error' | 'warn' | 'info' | 'debug';
  /**
   * Files and connections that the process may have open at a time; undefined for as many as the
   * operating system allows it.
   */
  readonly maxDescriptors: number | undefined;
  /** Memory that the process may use, in bytes; undefined for the default budget. */
  readonly maxMemoryBytes: number | undefined;
  /** Time from the stop signal until the platform kills the process, in milliseconds. */
  readonly stopTimeoutMs: number;
}

/** Settings of an entry host in a fleet whose hosts find each other through seeds. */
export interface FleetEntrySettings extends CommonSettings {
  readonly role: 'entry';
  readonly listen: {
    readonly callers: ListenAddress;
    readonly platform: ListenAddress;
    readonly peers: ListenAddress;
    readonly metrics: ListenAddress;
  };
  readonly retries: FleetRetrySettings;
  /** Bound on the requests of each team with a limit, over all entry hosts. */
  readonly quotas: QuotaSettings;
  /** Whether no process of the fleet has run before. */
  readonly isFirstStart: boolean;
  /**
   * How long the callers' listener stays open after `/ready` begins to answer 503, in milliseconds.
   */
  readonly stopGraceMs: number;
  /** Cost of one KiB from another failure domain, relative to a lost request, which costs 4. */
  readonly otherDomainPrice: number;
  /** How long a suspicion of an upstream stays in effect, in milliseconds. */
  readonly suspicionMs: number;
}

/** Settings of a control host in a fleet whose hosts find each other through seeds. */
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
  /** Number of control hosts that may be lost at the same time without losing accepted changes. */
  readonly lostHosts: number;
  /** How long an upstream may send no announcement before it counts as silent, in milliseconds. */
  readonly upstreamSilenceMs: number;
}

/** Checked settings of one daemon of a fleet whose hosts find each other through seeds. */
type FleetSettings = FleetEntrySettings | FleetControlSettings;

export type { FleetSettings as default };
