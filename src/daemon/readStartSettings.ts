import { stat } from 'node:fs/promises';

import waitSettings from '../application/lifecycle/waitSettings.ts';
import type { WaitedSettings } from '../application/lifecycle/waitSettings.ts';
import type Result from '../domain/errors/Result.ts';
import type Clock from '../ports/Clock.ts';
import readSettings from './readSettings.ts';

/** Reads the settings file of a process that starts; see `waitSettings`. */
export default function readStartSettings<Settings>(options: {
  readonly clock: Clock;
  readonly file: string;
  readonly parse: (name: string, text: string) => Result<Settings>;
}): Promise<WaitedSettings<Settings>> {
  const { clock, file, parse } = options;
  const read = async () => {
    const result = await readSettings(file, parse);
    // When this fails, so has the reading, whose failure is reported.
    const stats = await stat(file).catch(() => undefined);
    return { result, changedAt: stats?.mtimeMs };
  };
  return waitSettings({ clock, read });
}
