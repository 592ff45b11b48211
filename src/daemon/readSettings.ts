import { readFile } from 'node:fs/promises';

import parseSettings from '../adapters/yaml/parseSettings.ts';
import type Result from '../domain/errors/Result.ts';
import type DaemonSettings from '../domain/settings/DaemonSettings.ts';

/** Reads the settings file; the failure names the file, the key, the value and what is allowed. */
export default async function readSettings(file: string): Promise<Result<DaemonSettings>> {
  try {
    return parseSettings(file, await readFile(file, 'utf8'));
  } catch (error) {
    const detail = (error as NodeJS.ErrnoException).code ?? (error as Error).message;
    const message = `${file}: ${detail}: expected a readable YAML file`;
    return { ok: false, failure: { kind: 'settings_invalid', message } };
  }
}
