import { createHash } from 'node:crypto';

/** Layout of the bytes before the payload of a record. */
export const recordHeader = {
  mark: Buffer.from('phr1'),
  lengthOffset: 4,
  payloadSumOffset: 8,
  headerSumOffset: 16,
  bytes: 20,
} as const;

/** The first bytes of the SHA-256; node:zlib has no crc32 in the first releases of Node 20. */
export function computeChecksum(content: Uint8Array, bytes: number): Buffer {
  return createHash('sha256').update(content).digest().subarray(0, bytes);
}

/** Frames a value as one JSON record with length and checksum. */
export default function encodeRecord(value: unknown): Buffer {
  const { mark, lengthOffset, payloadSumOffset, headerSumOffset, bytes } = recordHeader;
  const payload = Buffer.from(JSON.stringify(value));
  const header = Buffer.alloc(bytes);
  mark.copy(header);
  header.writeUInt32LE(payload.length, lengthOffset);
  computeChecksum(payload, headerSumOffset - payloadSumOffset).copy(header, payloadSumOffset);
  // Without it a damaged length would look like a torn last record and hide all later ones.
  const headerSum = computeChecksum(header.subarray(0, headerSumOffset), bytes - headerSumOffset);
  headerSum.copy(header, headerSumOffset);
  return Buffer.concat([header, payload]);
}
