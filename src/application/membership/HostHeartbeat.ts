import type HostDirectory from '../../domain/membership/HostDirectory.ts';
import type HostRecord from '../../domain/membership/HostRecord.ts';
import type { HostStateName } from '../../domain/membership/HostRecord.ts';
import type Clock from '../../ports/Clock.ts';

const leaseMs = 10_000;
// A lease survives the loss of two renewals in a row.
const renewIntervalMs = 3000;
const checkIntervalMs = 250;

/** The part of the host record that changes while the host runs. */
export interface HostStatus {
  readonly state: HostStateName;
  /** Active revision, 0 when there is none. */
  readonly revision: number;
  readonly presetName: string;
}

/** Options of the heartbeat. */
export interface HostHeartbeatOptions {
  readonly clock: Clock;
  readonly hosts: HostDirectory;
  readonly host: Pick<HostRecord, 'host' | 'role' | 'peerAddress' | 'failureDomain'>;
  readonly readStatus: () => HostStatus;
  /** Called after the state changed, so that peers receive the new state immediately. */
  readonly exchangeNow: () => void;
}

/** Renews the lease of this host's own record. */
export default class HostHeartbeat {
  private readonly options: HostHeartbeatOptions;

  private ownIncarnation: number;

  private sequence = 0;

  private lastStatus: HostStatus | undefined;

  private renewAt = 0;

  constructor(options: HostHeartbeatOptions) {
    this.options = options;
    this.ownIncarnation = Math.floor(options.clock.now());
  }

  /**
   * Incarnation of this host's record: the start of this process in milliseconds since the epoch,
   * or a higher number when peers have a record of a higher incarnation.
   */
  get incarnation(): number {
    return this.ownIncarnation;
  }

  /** Renews the record every 3 s, and when the status changes, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      if (this.isRenewalDue()) this.renewRecord();
      await clock.sleepUntil(clock.now() + checkIntervalMs, signal);
    }
  }

  /** Renews the record now, for example right after the state changed to `stopping`. */
  renewRecord(): void {
    const { clock, hosts, host, readStatus, exchangeNow } = this.options;
    const now = clock.now();
    this.updateIncarnation();
    this.sequence += 1;
    const status = readStatus();
    const { ownIncarnation: incarnation, sequence } = this;
    const leaseDeadline = now + leaseMs;
    hosts.putRecord({ ...host, ...status, incarnation, sequence, leaseDeadline }, now);
    if (status.state !== this.lastStatus?.state) exchangeNow();
    this.lastStatus = status;
    this.renewAt = now + renewIntervalMs;
  }

  private isRenewalDue(): boolean {
    const { clock, hosts, host, readStatus } = this.options;
    const { state, revision, presetName } = readStatus();
    const [incarnation = 0] = hosts.getLastVersion(host.host) ?? [];
    return (
      clock.now() >= this.renewAt ||
      incarnation > this.ownIncarnation ||
      state !== this.lastStatus?.state ||
      revision !== this.lastStatus.revision ||
      presetName !== this.lastStatus.presetName
    );
  }

  // Peers may have a record of an earlier process of this host, whose clock was ahead.
  private updateIncarnation(): void {
    const { hosts, host } = this.options;
    const [incarnation = 0, sequence = 0] = hosts.getLastVersion(host.host) ?? [];
    if (incarnation > this.ownIncarnation) {
      this.ownIncarnation = incarnation + 1;
      this.sequence = 0;
    } else if (incarnation === this.ownIncarnation) {
      this.sequence = Math.max(this.sequence, sequence);
    }
  }
}
