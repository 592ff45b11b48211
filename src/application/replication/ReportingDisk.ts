import type Clock from '../../ports/Clock.ts';
import type Disk from '../../ports/Disk.ts';
import type Log from '../../ports/Log.ts';

/** Options of a disk whose errors are reported. */
export interface ReportingDiskOptions {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly log: Log;
}

interface FailingCall {
  readonly since: number;
  failures: number;
}

/**
 * Counts the errors of a disk. Logs the first error of a call on a file, and the next success of
 * that call.
 */
export default class ReportingDisk implements Disk {
  /** Number of calls that failed so far. */
  errorCount = 0;

  private readonly options: ReportingDiskOptions;

  private readonly failing = new Map<string, FailingCall>();

  constructor(options: ReportingDiskOptions) {
    this.options = options;
  }

  /** Number of calls whose last try failed. */
  get failingCount(): number {
    return this.failing.size;
  }

  list(): Promise<readonly string[]> {
    return this.runCall('list', '', (disk) => disk.list());
  }

  read(name: string): Promise<Uint8Array | undefined> {
    return this.runCall('read', name, (disk) => disk.read(name));
  }

  write(name: string, content: Uint8Array): Promise<void> {
    return this.runCall('write', name, (disk) => disk.write(name, content));
  }

  append(name: string, content: Uint8Array): Promise<void> {
    return this.runCall('append', name, (disk) => disk.append(name, content));
  }

  truncate(name: string, size: number): Promise<void> {
    return this.runCall('truncate', name, (disk) => disk.truncate(name, size));
  }

  sync(name: string): Promise<void> {
    return this.runCall('sync', name, (disk) => disk.sync(name));
  }

  syncFolder(): Promise<void> {
    return this.runCall('sync folder', '', (disk) => disk.syncFolder());
  }

  rename(from: string, to: string): Promise<void> {
    return this.runCall('rename', from, (disk) => disk.rename(from, to));
  }

  remove(name: string): Promise<void> {
    return this.runCall('remove', name, (disk) => disk.remove(name));
  }

  private async runCall<Value>(
    call: string,
    file: string,
    run: (disk: Disk) => Promise<Value>,
  ): Promise<Value> {
    try {
      const value = await run(this.options.disk);
      this.recordSuccess(call, file);
      return value;
    } catch (error) {
      this.recordFailure(call, file, error as Error);
      throw error;
    }
  }

  private recordFailure(call: string, file: string, error: Error): void {
    const { clock, log } = this.options;
    this.errorCount += 1;
    const failing = this.failing.get(`${call} ${file}`);
    if (failing) {
      failing.failures += 1;
      return;
    }
    this.failing.set(`${call} ${file}`, { since: clock.now(), failures: 1 });
    log.warn('replication: the disk refuses a call', { call, file, error: error.message });
  }

  private recordSuccess(call: string, file: string): void {
    const failing = this.failing.get(`${call} ${file}`);
    if (!failing) return;
    this.failing.delete(`${call} ${file}`);
    const { clock, log } = this.options;
    const { since, failures } = failing;
    log.info('replication: the disk accepts the call again', {
      ...{ call, file, failures, refusedMs: Math.round(clock.now() - since) },
    });
  }
}
