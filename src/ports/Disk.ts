/**
 * Files of the data folder, by name. Content and names survive a crash only after they are synced.
 */
export default interface Disk {
  /** Lists the names of all files, sorted. */
  list(): Promise<readonly string[]>;
  /** Reads the whole content; undefined when there is no such file. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Replaces the whole content, creating the file when needed; not synced. */
  write(name: string, content: Uint8Array): Promise<void>;
  /** Appends to the file, creating it when needed; not synced. */
  append(name: string, content: Uint8Array): Promise<void>;
  /** Truncates the file to the given number of bytes; not synced. */
  truncate(name: string, size: number): Promise<void>;
  /** Syncs the content of a file to the storage device. */
  sync(name: string): Promise<void>;
  /** Syncs the folder, so that created, renamed and removed names survive a crash. */
  syncFolder(): Promise<void>;
  /** Renames a file, replacing any file that has the new name; not synced. */
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
}
