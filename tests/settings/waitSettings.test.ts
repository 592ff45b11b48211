import { describe, expect, it } from 'vitest';

import waitSettings from '../../src/application/lifecycle/waitSettings.ts';
import FakeClock from '../fixtures/FakeClock.ts';

/** Reads a file that is empty, then cut but valid, then whole; undefined for a time is never. */
async function readWritten(times: { readonly cutMs?: number; readonly wholeMs?: number }) {
  const clock = new FakeClock();
  const start = clock.now();
  const cutAt = start + (times.cutMs ?? Infinity);
  const wholeAt = start + (times.wholeMs ?? Infinity);
  const read = async () => {
    if (clock.now() >= wholeAt)
      return { result: { ok: true, value: 'whole' } as const, changedAt: wholeAt };
    if (clock.now() >= cutAt)
      return { result: { ok: true, value: 'cut' } as const, changedAt: cutAt };
    const failure = { kind: 'settings_invalid', message: 'file: empty' } as const;
    return { result: { ok: false, failure } as const, changedAt: start };
  };
  const reading = waitSettings<string>({ clock, read });
  await clock.advanceBy(10_000);
  return reading;
}

describe('settings of a process that starts', () => {
  // Guards against a process that ends, or runs with other settings, because it read its file while
  // the file was being written.
  it('should be read when the file is whole', async () => {
    const read = await readWritten({ cutMs: 200, wholeMs: 240 });

    expect(read.result).toEqual({ ok: true, value: 'whole' });
    expect(read.firstFailure?.message).toBe('file: empty');
  });

  it('should be refused with the reason when the file stays invalid', async () => {
    const read = await readWritten({});

    expect(read.result).toMatchObject({ ok: false, failure: { message: 'file: empty' } });
  });

  it('should be used when the file stays as it is', async () => {
    expect(await readWritten({ cutMs: 0 })).toMatchObject({ result: { value: 'cut' } });
  });
});
