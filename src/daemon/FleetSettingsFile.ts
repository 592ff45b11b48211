import parseFleetSettings from '../adapters/yaml/parseFleetSettings.ts';
import Notifier from '../application/tasks/Notifier.ts';
import type FleetSettings from '../domain/settings/FleetSettings.ts';
import type Clock from '../ports/Clock.ts';
import type Log from '../ports/Log.ts';
import readSettings from './readSettings.ts';

// The file may change without a SIGHUP, and reading a small file is cheap.
const pollMs = 2000;

/**
 * Watches the settings file of a running daemon. New seeds take effect immediately, other changes
 * only after a restart of the daemon.
 */
export default class FleetSettingsFile {
  private readonly file: string;

  private readonly clock: Clock;

  private readonly log: Log;

  private readonly notifier: Notifier;

  private current: FleetSettings;

  private lastJson = '';

  constructor(options: {
    readonly file: string;
    readonly settings: FleetSettings;
    readonly clock: Clock;
    readonly log: Log;
  }) {
    this.file = options.file;
    this.current = options.settings;
    this.clock = options.clock;
    this.log = options.log;
    this.notifier = new Notifier(options.clock);
  }

  /** The settings as last read from the file; an invalid file leaves them unchanged. */
  get settings(): FleetSettings {
    return this.current;
  }

  /** Reads the file immediately instead of at the next poll. */
  readAgain(): void {
    this.notifier.notify();
  }

  /** Polls the file for changes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.notifier.notify(), { once: true });
    while (!signal.aborted) {
      await this.checkFile();
      await this.notifier.waitUntil(this.clock.now() + pollMs);
    }
  }

  private async checkFile(): Promise<void> {
    const { log, file } = this;
    const result = await readSettings(file, parseFleetSettings);
    if (!result.ok) {
      log.warn('lifecycle: settings not reloaded', { error: result.failure.message });
      return;
    }
    const json = JSON.stringify(result.value);
    if (json === this.lastJson) return;
    const isFirst = this.lastJson === '';
    this.lastJson = json;
    this.current = result.value;
    if (isFirst) return;
    const seeds = result.value.seeds.map(({ ip, port }) => `${ip}:${port}`).join(' ');
    log.info('lifecycle: settings reloaded', { seeds });
  }
}
