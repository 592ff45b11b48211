import { readFile } from 'node:fs/promises';

// The usual limit where the operating system does not tell.
const defaultLimit = 1024;

/**
 * Reads how many files and connections this process may have open at a time: as many as the
 * operating system allows, and at most `maxDescriptors`. Node.js raises its own limit as far as it
 * may when it starts.
 */
export default async function readDescriptorLimit(maxDescriptors = Infinity): Promise<number> {
  const limits = await readFile('/proc/self/limits', 'utf8').catch(() => '');
  const limit = Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1]);
  return Math.min(limit > 0 ? limit : defaultLimit, maxDescriptors);
}
