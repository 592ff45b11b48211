/** Files of the data folder, by name. Content and names last only once they are synced. */
export default interface Disk {
  /** Names of all files, sorted. */
  list(): Promise<readonly string[]>;
  /** The whole content, or undefined when there is no such file. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Replaces the whole content, creating the file when needed; not synced. */
  write(name: string, content: Uint8Array): Promise<void>;
  /** Adds to the end, creating the file when needed; not synced. */
  append(name: string, content: Uint8Array): Promise<void>;
  /** Cuts the file to the given number of bytes; not synced. */
  truncate(name: string, size: number): Promise<void>;
  /** Makes the content of a file last. */
  sync(name: string): Promise<void>;
  /** Makes created, renamed and removed names last. */
  syncFolder(): Promise<void>;
  /** Gives a file another name, in place of any file that had it; not synced. */
  setName(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
}
