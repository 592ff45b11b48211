import NodeDisk from '../adapters/disk/NodeDisk.ts';
import ReportingDisk from '../application/replication/ReportingDisk.ts';
import type { ReportingDiskOptions } from '../application/replication/ReportingDisk.ts';

/** Options of the data folder of a control host. */
export interface DataFolderOptions extends Omit<ReportingDiskOptions, 'disk'> {
  readonly folder: string;
}

/** Opens the data folder; rejects with a `FailureError` when it can't be used. */
export default async function openDisk(options: DataFolderOptions): Promise<ReportingDisk> {
  return new ReportingDisk({ ...options, disk: await NodeDisk.openFolder(options.folder) });
}
