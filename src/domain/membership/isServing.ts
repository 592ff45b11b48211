import type UpstreamRecord from './UpstreamRecord.ts';

/** Whether an upstream counts as capacity: it is serving and its lease is valid. */
export default function isServing(record: UpstreamRecord, now: number): boolean {
  return record.state === 'serving' && record.leaseDeadline > now;
}
