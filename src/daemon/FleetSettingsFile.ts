import parseFleetSettings from '../adapters/yaml/parseFleetSettings.ts';
import Notifier from '../application/tasks/Notifier.ts';
import type FleetSettings from '../domain/settings/FleetSettings.ts';
import type Clock from '../ports/Clock.ts';
import type Log from '../ports/Log.ts';
import readSettings from './readSettings.ts';

// Settings may change without a signal; a small file costs little to read.
const pollMs = 2000;

/** The settings file of a running daemon. New seeds count at once, other changes at a restart. */
export default class FleetSettingsFile {
  private readonly file: string;

  private readonly clock: Clock;

  private readonly log: Log;

  private readonly notifier: Notifier;

  private current: FleetSettings;

  private text = '';

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

  /** The newest settings that could be read. */
  get settings(): FleetSettings {
    return this.current;
  }

  /** Reads the file now. */
  readAgain(): void {
    this.notifier.notify();
  }

  /** Follows changes of the file until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.notifier.notify(), { once: true });
    while (!signal.aborted) {
      await this.readChange();
      await this.notifier.waitUntil(this.clock.now() + pollMs);
    }
  }

  private async readChange(): Promise<void> {
    const { log, file } = this;
    const read = await readSettings(file, parseFleetSettings);
    if (!read.ok) {
      log.warn('lifecycle: the changed settings are not used', { error: read.failure.message });
      return;
    }
    const text = JSON.stringify(read.value);
    if (text === this.text) return;
    const isFirst = this.text === '';
    this.text = text;
    this.current = read.value;
    if (isFirst) return;
    const seeds = read.value.seeds.map(({ ip, port }) => `${ip}:${port}`).join(' ');
    log.info('lifecycle: settings reloaded', { seeds });
  }
}
