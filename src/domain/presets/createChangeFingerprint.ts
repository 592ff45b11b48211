import { createHash } from 'node:crypto';

import type { PutPreset, UsePreset } from '../control/ControlCommand.ts';

function applyKeyOrder(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  return Object.fromEntries(
    Object.entries(value).sort(([first], [second]) => (first < second ? -1 : 1)),
  );
}

/** SHA-256 of a change in hexadecimal; the order of keys does not matter. */
export default function createChangeFingerprint(change: PutPreset | UsePreset): string {
  return createHash('sha256').update(JSON.stringify(change, applyKeyOrder)).digest('hex');
}
