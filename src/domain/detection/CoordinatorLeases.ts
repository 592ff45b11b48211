import { coordinatorLeaseMs } from './leaseTimes.ts';

/** A process that can coordinate the detection of a service. */
export interface CoordinatorIdentity {
  readonly host: string;
  /** A restarted coordinator has lost its ejections, so it counts as a different coordinator. */
  readonly incarnation: number;
}

interface Lease extends CoordinatorIdentity {
  readonly deadline: number;
}

/** Options of the leases. */
export interface CoordinatorLeasesOptions {
  /** Start instant of this process. */
  readonly startedAt: number;
}

/**
 * The coordinator leases that one reporter granted: until the deadline of a lease, the reporter
 * recognises no other coordinator of the service.
 */
export default class CoordinatorLeases {
  private readonly startedAt: number;

  private readonly leases = new Map<string, Lease>();

  constructor({ startedAt }: CoordinatorLeasesOptions) {
    this.startedAt = startedAt;
  }

  /**
   * Grants or renews the coordinator's lease on the service and returns its deadline. Returns
   * undefined while another coordinator holds a lease, or while a lease that this host granted
   * before its restart may still be valid.
   */
  grantLease(service: string, coordinator: CoordinatorIdentity, now: number): number | undefined {
    if (now < this.startedAt + coordinatorLeaseMs) return undefined;
    const current = this.leases.get(service);
    const isOther =
      current?.host !== coordinator.host || current.incarnation !== coordinator.incarnation;
    if (current && isOther && current.deadline > now) return undefined;
    const deadline = now + coordinatorLeaseMs;
    this.leases.set(service, {
      host: coordinator.host,
      incarnation: coordinator.incarnation,
      deadline,
    });
    return deadline;
  }
}
