import { coordinatorLeaseMs } from './leaseTimes.ts';

/** One process that can coordinator a service. */
export interface CoordinatorIdentity {
  readonly host: string;
  /** A restarted coordinator has forgotten its ejections, so it counts as another one. */
  readonly incarnation: number;
}

interface Lease extends CoordinatorIdentity {
  readonly deadline: number;
}

/** What the leases need. */
export interface CoordinatorLeasesOptions {
  /** Start instant of this process. */
  readonly startedAt: number;
}

/**
 * The promises of one reporter to recognise no other coordinator of a service before a deadline.
 */
export default class CoordinatorLeases {
  private readonly startedAt: number;

  private readonly leases = new Map<string, Lease>();

  constructor({ startedAt }: CoordinatorLeasesOptions) {
    this.startedAt = startedAt;
  }

  /**
   * Promises the service to the coordinator and returns the deadline of the promise. Returns
   * undefined while another coordinator holds one, or while a promise from before a restart may
   * still hold.
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
