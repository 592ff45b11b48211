import { computeChecksum, recordHeader } from './encodeRecord.ts';

/** A record of a file. */
export interface DecodedRecord {
  readonly value: unknown;
  /** Size in bytes, including the header. */
  readonly size: number;
}

/** The valid records at the start of a file and what follows them. */
export interface DecodedRecords {
  readonly records: readonly DecodedRecord[];
  /** Offset of the end of the last valid record, in bytes. */
  readonly validBytes: number;
  /**
   * `complete`: the whole file is valid. `torn`: bytes follow, but no valid record. `damaged`: a
   * valid record follows an invalid one.
   */
  readonly tail: 'complete' | 'torn' | 'damaged';
  /** The valid records that follow an invalid one. */
  readonly laterRecords: readonly DecodedRecord[];
}

function hasChecksum(content: Buffer, expected: Buffer): boolean {
  return computeChecksum(content, expected.length).equals(expected);
}

/** Reads the record at an offset; returns undefined when it is incomplete or a checksum differs. */
export function readRecord(content: Buffer, offset: number): DecodedRecord | undefined {
  const { lengthOffset, payloadChecksumOffset, headerChecksumOffset, bytes } = recordHeader;
  const header = content.subarray(offset, offset + bytes);
  if (header.length < bytes) return undefined;
  const headerChecksum = header.subarray(headerChecksumOffset);
  if (!hasChecksum(header.subarray(0, headerChecksumOffset), headerChecksum)) return undefined;
  const size = bytes + header.readUInt32LE(lengthOffset);
  if (offset + size > content.length) return undefined;
  const payload = content.subarray(offset + bytes, offset + size);
  const payloadChecksum = header.subarray(payloadChecksumOffset, headerChecksumOffset);
  if (!hasChecksum(payload, payloadChecksum)) return undefined;
  return { value: JSON.parse(payload.toString()), size };
}

function listRecordsAfter(content: Buffer, offset: number): readonly DecodedRecord[] {
  const found: DecodedRecord[] = [];
  let start = content.indexOf(recordHeader.magic, offset + 1);
  while (start >= 0) {
    const record = readRecord(content, start);
    if (record) found.push(record);
    start = content.indexOf(recordHeader.magic, start + (record?.size ?? 1));
  }
  return found;
}

/** Reads the records of a file up to the first one that is not valid. */
export default function decodeRecords(bytes: Uint8Array): DecodedRecords {
  const content = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const records: DecodedRecord[] = [];
  let validBytes = 0;
  let record = readRecord(content, validBytes);
  while (record) {
    records.push(record);
    validBytes += record.size;
    record = readRecord(content, validBytes);
  }
  if (validBytes === content.length) {
    return { records, validBytes, tail: 'complete', laterRecords: [] };
  }
  const laterRecords = listRecordsAfter(content, validBytes);
  return { records, validBytes, tail: laterRecords.length > 0 ? 'damaged' : 'torn', laterRecords };
}
