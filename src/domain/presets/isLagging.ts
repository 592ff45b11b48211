import type HostRecord from '../membership/HostRecord.ts';

/** Whether a host serves callers with an older revision than the active one. */
export default function isLagging(
  host: Pick<HostRecord, 'role' | 'revision'>,
  activeRevision: number,
): boolean {
  return host.role === 'entry' && host.revision < activeRevision;
}
