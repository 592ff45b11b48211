import { readFile } from 'node:fs/promises';

import type Result from '../domain/errors/Result.ts';

/**
 * Reads and parses a settings file. The failure names the file, the key, the value and what is
 * allowed.
 */
export default async function readSettings<Settings>(
  file: string,
  parse: (name: string, text: string) => Result<Settings>,
): Promise<Result<Settings>> {
  try {
    return parse(file, await readFile(file, 'utf8'));
  } catch (error) {
    const detail = (error as NodeJS.ErrnoException).code ?? (error as Error).message;
    const message = `${file}: ${detail}: expected a readable YAML file`;
    return { ok: false, failure: { kind: 'settings_invalid', message } };
  }
}
