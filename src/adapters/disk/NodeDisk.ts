import {
  appendFile,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
  truncate,
  writeFile,
} from 'node:fs/promises';
import { join } from 'node:path';

import FailureError from '../../domain/errors/FailureError.ts';
import type Disk from '../../ports/Disk.ts';

/** The files of one folder in the file system. */
export default class NodeDisk implements Disk {
  private readonly folder: string;

  private constructor(folder: string) {
    this.folder = folder;
  }

  /** Opens the folder, creating it when needed; rejects with `data_folder_unusable`. */
  static async openFolder(folder: string): Promise<NodeDisk> {
    const disk = new NodeDisk(folder);
    try {
      await mkdir(folder, { recursive: true });
      // Makes the directory entry of a new folder durable.
      await disk.syncPath(join(folder, '..'));
      await disk.syncFolder();
    } catch (error) {
      throw new FailureError({
        kind: 'data_folder_unusable',
        message: `data folder "${folder}": ${(error as Error).message}: expected a writable folder`,
      });
    }
    return disk;
  }

  async list(): Promise<readonly string[]> {
    const entries = await readdir(this.folder, { withFileTypes: true });
    const files = entries.filter((entry) => entry.isFile());
    return files.map(({ name }) => name).sort();
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(this.getPath(name));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
      throw error;
    }
  }

  write(name: string, content: Uint8Array): Promise<void> {
    return writeFile(this.getPath(name), content);
  }

  append(name: string, content: Uint8Array): Promise<void> {
    return appendFile(this.getPath(name), content);
  }

  truncate(name: string, size: number): Promise<void> {
    return truncate(this.getPath(name), size);
  }

  sync(name: string): Promise<void> {
    return this.syncPath(this.getPath(name));
  }

  syncFolder(): Promise<void> {
    return this.syncPath(this.folder);
  }

  rename(from: string, to: string): Promise<void> {
    return rename(this.getPath(from), this.getPath(to));
  }

  remove(name: string): Promise<void> {
    return rm(this.getPath(name));
  }

  private getPath(name: string): string {
    return join(this.folder, name);
  }

  private async syncPath(path: string): Promise<void> {
    const file = await open(path, 'r');
    try {
      await file.sync();
    } finally {
      await file.close();
    }
  }
}
