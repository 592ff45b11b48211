import type HostRecord from './HostRecord.ts';

/** The host records that this host has. */
export default interface HostSource {
  /**
   * Records of all roles and states whose lease has not expired, including the host's own record.
   */
  listHosts(now: number): readonly HostRecord[];
}
