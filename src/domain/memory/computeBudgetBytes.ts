import maxBufferedBytes from './maxBufferedBytes.ts';

// Each byte of a full budget takes up 3.5 bytes, because memory that was freed is reused with a
// delay; the process takes 150 to 160 MB besides (tests/platform/memory.test.ts).
const referenceBytes = 250_000_000;
const programBytes = 160_000_000;
// Room for one document of a control host, of at most 6 MB.
const minBudgetBytes = 8_388_608;

/**
 * Bytes that connections, requests and answers may hold together in a process that may use
 * `maxMemoryBytes`; 24 MiB, the largest budget, if that is undefined.
 */
export default function computeBudgetBytes(maxMemoryBytes: number | undefined): number {
  if (maxMemoryBytes === undefined) return maxBufferedBytes;
  const share = (maxMemoryBytes - programBytes) / (referenceBytes - programBytes);
  return Math.min(maxBufferedBytes, Math.max(minBudgetBytes, Math.floor(share * maxBufferedBytes)));
}
