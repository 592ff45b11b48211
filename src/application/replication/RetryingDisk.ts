import mayDiskErrorPass from '../../domain/replication/mayDiskErrorPass.ts';
import type Clock from '../../ports/Clock.ts';
import type Disk from '../../ports/Disk.ts';
import FileChanges from './FileChanges.ts';

// Well below the shortest election timeout, and rare enough to cost nothing while a disk is full.
const retryMs = 100;

type DiskError = Pick<NodeJS.ErrnoException, 'code' | 'syscall'>;

/** Options of a disk whose operations are retried. */
export interface RetryingDiskOptions {
  readonly disk: Disk;
  readonly clock: Clock;
}

/**
 * Retries operations whose error may pass, until they succeed or the time of `endRetriesAt` has
 * come: the disk then hangs instead of failing. After a failed sync the content of the page cache
 * is unknown, so everything since the last sync is written again; a file of an earlier process as a
 * whole, because nobody knows what that process has synced.
 */
export default class RetryingDisk implements Disk {
  private readonly disk: Disk;

  private readonly clock: Clock;

  private retriesEndAt = Infinity;

  private readonly files = new Map<string, FileChanges>();

  constructor({ disk, clock }: RetryingDiskOptions) {
    this.disk = disk;
    this.clock = clock;
  }

  /** Lets operations fail from the deadline on, so that a host can stop while its disk refuses. */
  endRetriesAt(deadline: number): void {
    this.retriesEndAt = deadline;
  }

  list(): Promise<readonly string[]> {
    return this.runUntilDone(() => this.disk.list());
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    const content = await this.runUntilDone(() => this.disk.read(name));
    if (!this.files.has(name)) this.files.set(name, new FileChanges(content?.byteLength ?? 0));
    return content;
  }

  async write(name: string, content: Uint8Array): Promise<void> {
    await this.runNext(name, async (changes) => {
      await this.runUntilDone(() => this.disk.write(name, content));
      changes.setContent(content);
    });
  }

  async append(name: string, content: Uint8Array): Promise<void> {
    await this.runNext(name, async (changes) => {
      await this.runUntilDone(async (isRetry) => {
        // The failed try may have written a part.
        if (isRetry) await this.restoreSize(name, changes.size);
        await this.disk.append(name, content);
      });
      changes.addBytes(content);
    });
  }

  async truncate(name: string, size: number): Promise<void> {
    await this.runNext(name, async (changes) => {
      await this.runUntilDone(() => this.disk.truncate(name, size));
      changes.truncateTo(size);
    });
  }

  async sync(name: string): Promise<void> {
    await this.runNext(name, async (changes) => {
      // Only before the first try is it certain that a read returns what was written.
      const readBack = changes.isReadBack
        ? await this.runUntilDone(() => this.disk.read(name))
        : undefined;
      await this.runUntilDone(async (isRetry) => {
        if (isRetry && readBack) await this.writeWhole(name, readBack);
        else if (isRetry) await this.writeAgain(name, changes);
        await this.disk.sync(name);
      });
      changes.markSynced();
    });
  }

  // Names can't be written again, so a failed sync of them is final; only a folder that could not
  // be opened is tried again.
  syncFolder(): Promise<void> {
    return this.runUntilDone(
      () => this.disk.syncFolder(),
      ({ syscall }) => syscall === 'open',
    );
  }

  async rename(from: string, to: string): Promise<void> {
    await this.runNext(from, async (changes) => {
      await this.runUntilDone(() => this.disk.rename(from, to));
      this.files.set(to, changes);
      this.files.delete(from);
    });
  }

  async remove(name: string): Promise<void> {
    await this.runNext(name, async () => {
      await this.runUntilDone(() => this.disk.remove(name));
      this.files.delete(name);
    });
  }

  private async runNext(
    name: string,
    work: (changes: FileChanges) => Promise<void>,
  ): Promise<void> {
    if (!this.files.has(name)) await this.read(name);
    const changes = this.files.get(name) ?? new FileChanges(0);
    await changes.serial.runNext(() => work(changes));
  }

  private async restoreSize(name: string, size: number): Promise<void> {
    const exists = size > 0 || (await this.disk.read(name)) !== undefined;
    if (exists) await this.disk.truncate(name, size);
  }

  private async writeAgain(name: string, changes: FileChanges): Promise<void> {
    const { isReplaced, syncedSize, unsyncedBytes } = changes;
    if (isReplaced) {
      await this.disk.write(name, unsyncedBytes);
      return;
    }
    await this.disk.truncate(name, syncedSize);
    if (unsyncedBytes.byteLength > 0) await this.disk.append(name, unsyncedBytes);
  }

  // Writing to the file itself could lose synced bytes of an earlier process in a crash.
  private async writeWhole(name: string, content: Uint8Array): Promise<void> {
    const staged = `again-${name}.new`;
    await this.disk.write(staged, content);
    await this.disk.sync(staged);
    await this.disk.rename(staged, name);
    await this.disk.syncFolder();
  }

  private async runUntilDone<Value>(
    run: (isRetry: boolean) => Promise<Value>,
    mayRetry: (error: DiskError) => boolean = () => true,
  ): Promise<Value> {
    const { clock } = this;
    let failure: unknown;
    do {
      if (failure !== undefined) await clock.sleepUntil(clock.now() + retryMs);
      try {
        return await run(failure !== undefined);
      } catch (error) {
        const { code } = error as DiskError;
        if (!mayDiskErrorPass(code) || !mayRetry(error as DiskError)) throw error;
        failure = error;
      }
    } while (clock.now() < this.retriesEndAt);
    throw failure;
  }
}
