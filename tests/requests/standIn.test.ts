import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import { fetch } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute, createService } from '../fixtures/createPreset.ts';

const standInProgram = fileURLToPath(new URL('../stand-in/standInUpstream.mjs', import.meta.url));
const preset = createPreset({
  services: { history: createService({ echoRequestId: true, retryShare: 1 }) },
  routes: [
    createRoute({ deadlineMs: 10_000 }),
    createRoute({ method: 'POST', path: '/bookings', repeat: 'never', deadlineMs: 10_000 }),
  ],
});

interface StandIn {
  readonly address: string;
  readonly control: string;
}

describe('requests to stand-in upstreams', () => {
  const processes: ChildProcess[] = [];
  const paths: EntryPath[] = [];

  async function startStandIn(args: readonly string[] = []): Promise<StandIn> {
    const child = spawn(process.execPath, [standInProgram, '--latency-ms', '5', ...args]);
    processes.push(child);
    const [line] = (await once(child.stdout, 'data')) as [Buffer];
    return JSON.parse(line.toString()) as StandIn;
  }

  async function startPath(standIns: readonly StandIn[]) {
    const completions: string[] = [];
    const complete = (name: string) => () => {
      completions.push(name);
    };
    const path = await createEntryPath({
      upstreams: standIns.map(({ address }, index) => createUsable(`u${index}`, address)),
      preset,
      claims: {
        requestClaim: async () => ({
          kind: 'granted',
          grantedClaim: {
            completeRan: complete('ran'),
            completeUnknown: complete('unknown'),
            completeNotRun: complete('not_run'),
          },
        }),
        waitIdle: async () => undefined,
      },
    });
    paths.push(path);
    const sendBooking = (key: string, signal?: AbortSignal) =>
      fetch(`${path.origin}/bookings`, {
        method: 'POST',
        headers: { 'idempotency-key': key },
        ...(signal ? { signal } : {}),
      });
    return { path, sendBooking, completions };
  }

  const setBehaviour = ({ control }: StandIn, changes: object) =>
    fetch(`http://${control}/behaviour`, { method: 'POST', body: JSON.stringify(changes) });

  async function readCounts<Key extends string>({ control }: StandIn, path: string) {
    const answer = await fetch(`http://${control}${path}`);
    return (await answer.json()) as Record<Key, number>;
  }

  afterEach(async () => {
    await Promise.all(paths.splice(0).map((path) => path.close()));
    processes.splice(0).forEach((child) => child.kill('SIGKILL'));
  });

  // Guards against a second run of an operation under faults that hide whether it ran, and against
  // reporting not-run for an operation that ran.
  it('should run each booking at most once and report not-run only when it did not run', async () => {
    const standIns = await Promise.all([startStandIn(), startStandIn()]);
    const faults = { resetBeforeShare: 0.2, resetAfterShare: 0.2, truncateShare: 0.2 };
    await Promise.all(
      standIns.map((standIn) =>
        setBehaviour(standIn, { ...faults, wrongShare: 0.2, failShare: 0.2 }),
      ),
    );
    const { sendBooking, completions } = await startPath(standIns);

    const keys = Array.from({ length: 100 }, (_, index) => `key-${index}`);
    const outcomes = await Promise.all(
      keys.map(async (key) => (await sendBooking(key)).headers.get('pistachiohoist-outcome')),
    );

    const runs = await Promise.all(standIns.map((standIn) => readCounts(standIn, '/runs')));
    const countRuns = (key: string) => runs.reduce((sum, counts) => sum + (counts[key] ?? 0), 0);
    expect(keys.filter((key) => countRuns(key) > 1)).toEqual([]);
    expect(
      keys.filter((key, index) => outcomes[index] === 'not-run' && countRuns(key) > 0),
    ).toEqual([]);
    expect(keys.filter((key, index) => outcomes[index] === 'ran' && countRuns(key) !== 1)).toEqual(
      [],
    );
    expect(new Set(outcomes)).toEqual(new Set(['ran', 'unknown']));
    expect(completions).toHaveLength(keys.length);
  });

  // Guards against work for a caller that has disconnected, and against releasing the key of an
  // operation that has started.
  it('should cancel the upstream request of a caller that disconnects', async () => {
    const standIn = await startStandIn(['--latency-ms', '5000']);
    const { sendBooking, completions } = await startPath([standIn]);
    const controller = new AbortController();
    const result = sendBooking('key', controller.signal).catch(() => 'disconnected');
    await expect.poll(async () => (await readCounts<'ran'>(standIn, '/counts')).ran).toBe(1);

    controller.abort();

    expect(await result).toBe('disconnected');
    await expect
      .poll(async () => (await readCounts<'cancelled'>(standIn, '/counts')).cancelled)
      .toBe(1);
    await expect.poll(() => completions).toEqual(['unknown']);
  });

  // Guards against passing on answers that an upstream truncates or sends to another request.
  it('should answer every repeatable request correctly while one of two upstreams is faulty', async () => {
    const standIns = await Promise.all([startStandIn(), startStandIn()]);
    const { path } = await startPath(standIns);
    await setBehaviour(standIns[0], { truncateShare: 0.5, wrongShare: 0.5 });

    const ids = Array.from({ length: 20 }, (_, index) => String(index));
    for (const id of ids) {
      const answer = await fetch(`${path.origin}/history/${id}`);
      expect(await answer.json()).toMatchObject({ target: `/history/${id}` });
    }
  });
});
