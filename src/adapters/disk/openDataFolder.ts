import { constants } from 'node:fs';
import { access, mkdir } from 'node:fs/promises';

import type Result from '../../domain/errors/Result.ts';

/** Creates the data folder when it is missing and checks that it can be read and written. */
export default async function openDataFolder(folder: string): Promise<Result<string>> {
  try {
    await mkdir(folder, { recursive: true, mode: 0o700 });
    await access(folder, constants.R_OK | constants.W_OK | constants.X_OK);
    return { ok: true, value: folder };
  } catch (error) {
    const detail = (error as NodeJS.ErrnoException).code ?? (error as Error).message;
    const message = `key data_folder: value "${folder}": ${detail}: expected a folder that this process can read and write`;
    return { ok: false, failure: { kind: 'data_folder_unusable', message } };
  }
}
