import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import LoadMonitor from '../../src/application/metrics/LoadMonitor.ts';
import type { LogFields } from '../../src/ports/Log.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

class RecordingLog extends SilentLog {
  readonly fields: LogFields[] = [];

  override info(message: string, fields: LogFields = {}): void {
    super.info(message);
    this.fields.push(fields);
  }
}

describe('LoadMonitor', () => {
  let clock: FakeClock;
  let log: RecordingLog;
  let stopping: AbortController;
  let sent: number;
  let monitor: LoadMonitor;
  let task: Promise<void>;

  beforeEach(() => {
    clock = new FakeClock();
    log = new RecordingLog();
    stopping = new AbortController();
    sent = 40;
    monitor = new LoadMonitor({
      clock,
      log,
      readTotals: () => ({ datagramsSent: sent }),
      readValues: () => ({ feedAgeMs: 7 }),
    });
    task = monitor.run(stopping.signal);
  });

  afterEach(async () => {
    stopping.abort();
    await clock.advanceBy(0);
    await task;
  });

  // In the incident of the grown fleet, nothing told a host without processor time from a host
  // whose link was full.
  it('should log the longest delay of a timer and the increase of each total every 5 seconds', async () => {
    await clock.advanceBy(1000);
    clock.jumpTo(clock.now() + 900);
    sent = 100;
    await clock.advanceBy(4000);
    await clock.advanceBy(5500);

    expect(log.messages).toEqual(['lifecycle: load', 'lifecycle: load']);
    expect(log.fields).toEqual([
      { maxDelayMs: 650, datagramsSent: 60, feedAgeMs: 7 },
      { maxDelayMs: 0, datagramsSent: 0, feedAgeMs: 7 },
    ]);
  });

  it('should report the longest delay of the last report and of the time since then', async () => {
    clock.jumpTo(clock.now() + 700);
    await clock.advanceBy(5000);
    const reported = monitor.maxDelayMs;
    clock.jumpTo(clock.now() + 1250);
    await clock.advanceBy(0);

    expect([reported, monitor.maxDelayMs > 900]).toEqual([450, true]);
  });
});
