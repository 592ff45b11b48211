import type HostRecord from '../../domain/membership/HostRecord.ts';

/** The hosts in the directory of this host. */
export default interface HostListing {
  /** Records whose lease has not expired, each with the host's active preset revision. */
  listHosts(): readonly HostRecord[];
}
