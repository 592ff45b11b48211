import FailureError from '../../domain/errors/FailureError.ts';
import type Disk from '../../ports/Disk.ts';
import decodeRecords from './decodeRecords.ts';
import encodeRecord from './encodeRecord.ts';

/** A file with one record, which is replaced atomically. */
export default class DocumentFile<Value> {
  readonly name: string;

  private readonly disk: Disk;

  constructor(disk: Disk, name: string) {
    this.disk = disk;
    this.name = name;
  }

  /** Returns undefined when the file does not exist; throws `log_damaged` when it is not valid. */
  async readDocument(): Promise<Value | undefined> {
    const content = await this.disk.read(this.name);
    return content && this.parseDocument(content);
  }

  /** Replaces the document and syncs it to the disk. */
  async writeDocument(value: Value): Promise<void> {
    const staged = `${this.name}.new`;
    await this.disk.write(staged, encodeRecord(value));
    await this.disk.sync(staged);
    await this.disk.rename(staged, this.name);
    await this.disk.syncFolder();
  }

  private parseDocument(content: Uint8Array): Value {
    const { records, tail } = decodeRecords(content);
    if (records.length === 1 && records[0] && tail === 'complete') {
      return records[0].value as Value;
    }
    throw new FailureError({
      kind: 'log_damaged',
      message: `file "${this.name}" of ${content.byteLength} bytes: expected one record with a valid checksum`,
    });
  }
}
