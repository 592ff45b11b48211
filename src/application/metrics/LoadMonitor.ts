import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';

const checkIntervalMs = 250;
const reportIntervalMs = 5000;

type Values = Readonly<Record<string, number>>;

/** Options of the monitor. */
export interface LoadMonitorOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Totals since the start of the process; each report states their increase. */
  readonly readTotals: () => Values;
  /** Current values, which each report states as they are. */
  readonly readValues?: () => Values;
}

/** Measures how late the event loop runs timers, and logs the load of this process. */
export default class LoadMonitor {
  private readonly options: LoadMonitorOptions;

  private currentDelayMs = 0;

  private reportedDelayMs = 0;

  private lastTotals: Values = {};

  constructor(options: LoadMonitorOptions) {
    this.options = options;
  }

  /** Longest delay of a timer in the last report and since then, in milliseconds. */
  get maxDelayMs(): number {
    return Math.max(this.currentDelayMs, this.reportedDelayMs);
  }

  /** Measures and reports until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    this.lastTotals = this.options.readTotals();
    let reportAt = clock.now() + reportIntervalMs;
    while (!signal.aborted) {
      const wakeAt = clock.now() + checkIntervalMs;
      await clock.sleepUntil(wakeAt, signal);
      const now = clock.now();
      this.currentDelayMs = Math.max(this.currentDelayMs, now - wakeAt);
      if (now < reportAt || signal.aborted) continue;
      reportAt = now + reportIntervalMs;
      this.reportLoad();
    }
  }

  private reportLoad(): void {
    const { log, readTotals, readValues } = this.options;
    const totals = readTotals();
    const increases = Object.fromEntries(
      Object.entries(totals).map(([name, total]) => [
        name,
        Math.round(total - (this.lastTotals[name] ?? 0)),
      ]),
    );
    this.lastTotals = totals;
    this.reportedDelayMs = this.currentDelayMs;
    this.currentDelayMs = 0;
    log.info('lifecycle: load', {
      maxDelayMs: Math.round(this.reportedDelayMs),
      ...increases,
      ...readValues?.(),
    });
  }
}
