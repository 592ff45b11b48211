import { readFile } from 'node:fs/promises';

import canOpenSockets from './canOpenSockets.ts';

// The usual limit where the operating system does not tell.
const defaultLimit = 1024;

/** Options of the limit. */
export interface DescriptorLimitOptions {
  /** Limit of the settings, if any. */
  readonly maxDescriptors: number | undefined;
  /** Returns the limits of this process as Linux prints them. */
  readonly readLimits?: () => Promise<string>;
  /** Whether this process can open so many sockets at a time. */
  readonly canOpen?: (count: number) => Promise<boolean>;
}

/**
 * Reads how many files and connections this process may have open at a time: as many as the
 * operating system allows, and at most `maxDescriptors`. Node.js raises its own limit as far as it
 * may when it starts. Some platforms limit connections by `maxDescriptors` only, and files by the
 * operating system, so a lower limit of the latter counts only if it also holds for sockets.
 */
export default async function readDescriptorLimit(
  options: DescriptorLimitOptions,
): Promise<number> {
  const {
    maxDescriptors = Infinity,
    readLimits = () => readFile('/proc/self/limits', 'utf8'),
    canOpen = canOpenSockets,
  } = options;
  const limits = await readLimits().catch(() => '');
  const stated = Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1]);
  const limit = stated > 0 ? stated : defaultLimit;
  if (maxDescriptors === Infinity || maxDescriptors <= limit)
    return Math.min(limit, maxDescriptors);
  return (await canOpen(limit)) ? maxDescriptors : limit;
}
