import NodeDisk from '../adapters/disk/NodeDisk.ts';
import ReportingDisk from '../application/replication/ReportingDisk.ts';
import type { ReportingDiskOptions } from '../application/replication/ReportingDisk.ts';
import RetryingDisk from '../application/replication/RetryingDisk.ts';

/** Options of the data folder of a control host. */
export interface DataFolderOptions extends Omit<ReportingDiskOptions, 'disk'> {
  readonly folder: string;
  /** Aborts when the host is asked to stop, also while it starts. */
  readonly stopSignal: AbortSignal;
  /** Time for the host to stop, in milliseconds; a disk that refuses may recover for as long. */
  readonly stopMs: number;
}

/** The files of a control host. */
export interface DataFolder {
  readonly disk: RetryingDisk;
  readonly reporting: ReportingDisk;
}

/** Opens the data folder; rejects with a `FailureError` when it can't be used. */
export default async function openDisk(options: DataFolderOptions): Promise<DataFolder> {
  const { folder, clock, stopSignal, stopMs } = options;
  const reporting = new ReportingDisk({ ...options, disk: await NodeDisk.openFolder(folder) });
  const disk = new RetryingDisk({ disk: reporting, clock });
  const endRetries = (): void => disk.endRetriesAt(clock.now() + stopMs);
  stopSignal.addEventListener('abort', endRetries, { once: true });
  if (stopSignal.aborted) endRetries();
  return { disk, reporting };
}
