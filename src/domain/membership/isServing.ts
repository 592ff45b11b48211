import type UpstreamRecord from './UpstreamRecord.ts';

/** Whether an upstream counts as capacity: serving, not leaving, with a valid lease. */
export default function isServing(record: UpstreamRecord, now: number): boolean {
  return record.state === 'serving' && record.leaseDeadline > now;
}
