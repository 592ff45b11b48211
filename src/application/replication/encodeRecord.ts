import { createHash } from 'node:crypto';

/** Layout of the bytes before the payload of a record. */
export const recordHeader = {
  magic: Buffer.from('phr1'),
  lengthOffset: 4,
  payloadChecksumOffset: 8,
  headerChecksumOffset: 16,
  bytes: 20,
} as const;

/**
 * Returns the first `bytes` bytes of the SHA-256 hash. CRC-32 is not used, because node:zlib has no
 * crc32 in the first releases of Node 20.
 */
export function computeChecksum(content: Uint8Array, bytes: number): Buffer {
  return createHash('sha256').update(content).digest().subarray(0, bytes);
}

/** Encodes a value as JSON in a record whose header has the length and checksums. */
export default function encodeRecord(value: unknown): Buffer {
  const { magic, lengthOffset, payloadChecksumOffset, headerChecksumOffset, bytes } = recordHeader;
  const payload = Buffer.from(JSON.stringify(value));
  const header = Buffer.alloc(bytes);
  magic.copy(header);
  header.writeUInt32LE(payload.length, lengthOffset);
  computeChecksum(payload, headerChecksumOffset - payloadChecksumOffset).copy(
    header,
    payloadChecksumOffset,
  );
  // Without this checksum a damaged length would look like a torn last record, and all records
  // after it would be lost.
  const headerChecksum = computeChecksum(
    header.subarray(0, headerChecksumOffset),
    bytes - headerChecksumOffset,
  );
  headerChecksum.copy(header, headerChecksumOffset);
  return Buffer.concat([header, payload]);
}
