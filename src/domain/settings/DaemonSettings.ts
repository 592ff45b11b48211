import type { HostRole } from '../membership/HostRecord.ts';

/** An IP address and a port. */
export interface ListenAddress {
  readonly ip: string;
  readonly port: number;
}

/** A control host listed in the settings. */
export interface ControlHostSettings {
  readonly host: string;
  /** Address of its peers listener. */
  readonly address: string;
}

/** Checked settings of one daemon. */
export default interface DaemonSettings {
  readonly host: string;
  readonly failureDomain: string;
  readonly role: HostRole;
  readonly listen: {
    readonly platform: ListenAddress;
    readonly peers: ListenAddress;
    /** Set on entry hosts. */
    readonly callers: ListenAddress | undefined;
    /** Set on control hosts. */
    readonly operators: ListenAddress | undefined;
  };
  readonly control: readonly ControlHostSettings[];
  readonly peerKey: string;
  /** Set on control hosts. */
  readonly operatorKey: string | undefined;
  /** Set on control hosts. */
  readonly dataFolder: string | undefined;
  readonly logLevel: 'error' | 'warn' | 'info' | 'debug';
  /** Memory that the process may use, in bytes; undefined for the default budget. */
  readonly maxMemoryBytes: number | undefined;
  /** How long the listeners stay open after `/ready` begins to answer 503, in milliseconds. */
  readonly stopGraceMs: number;
}
