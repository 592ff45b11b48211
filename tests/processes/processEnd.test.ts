import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import ManagedProcess from '../../examples/fleet/ManagedProcess.ts';

const daemon = fileURLToPath(new URL('../../dist/daemon/main.js', import.meta.url));
const maxStartMs = 30_000;

describe('last line of a daemon', () => {
  let folder: string;
  let file: string;

  beforeAll(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'pistachiohoist-'));
    file = path.join(folder, 'daemon.yaml');
    const lines = [
      'host: entry-1',
      'failure_domain: north',
      'role: entry',
      'listen: { callers: 127.0.0.1:0, platform: 127.0.0.1:0, peers: 127.0.0.1:0 }',
      'control: [{ host: control-1, address: 127.0.0.1:1 }]',
      'peer_key: a-key-of-sixteen-letters',
      'stop_grace_ms: 0',
    ];
    await writeFile(file, lines.join('\n'));
  });

  afterAll(() => rm(folder, { recursive: true }));

  /** Starts the daemon, with code that runs in it on a signal, and sends the signal. */
  async function endDaemon(signal: NodeJS.Signals, code = '') {
    const module = `data:text/javascript,process.on("SIGUSR2",()=>{${encodeURIComponent(code)}})`;
    const running = new ManagedProcess('daemon', ['--import', module, daemon, '--config', file]);
    const deadline = Date.now() + maxStartMs;
    while (!running.output.includes('lifecycle: started')) {
      if (!running.isRunning || Date.now() >= deadline) throw new Error(running.output);
      await sleep(20);
    }
    process.kill(running.pid ?? 0, signal);
    const exitCode = await running.waitExit();
    const last = running.output.trim().split('\n').at(-1) ?? '';
    return { exitCode, line: JSON.parse(last) as Record<string, unknown> };
  }

  // Guards against a process that ends without a trace of the reason in its log.
  it.each([
    ['an error that nothing handles', 'throw new RangeError("broken")'],
    ['a rejection that nothing handles', 'Promise.reject(new RangeError("broken"))'],
  ])(
    'should name %s with its stack',
    async (_, code) => {
      const { exitCode, line } = await endDaemon('SIGUSR2', code);

      expect(exitCode).toBe(1);
      expect(line).toMatchObject({
        ...{ message: 'lifecycle: ended', reason: 'uncaught_error', exitCode: 1 },
        ...{ level: 'error', host: 'entry-1', error: 'broken' },
      });
      expect(line.stack).toContain('RangeError: broken\n    at ');
    },
    maxStartMs,
  );

  // Guards against a planned stop that looks like an end by itself.
  it(
    'should name a stop that was requested',
    async () => {
      const { exitCode, line } = await endDaemon('SIGTERM');

      expect(exitCode).toBe(0);
      expect(line).toMatchObject({ message: 'lifecycle: ended', reason: 'stop_requested' });
    },
    maxStartMs,
  );

  // Guards against a stop that waits for an event that never comes, and looks like a complete one.
  it('should tell an end because nothing is left to wait for', async () => {
    const url = new URL('../../dist/daemon/ProcessEnd.js', import.meta.url);
    const code = `import ProcessEnd from '${url}'; new ProcessEnd({ program: 'test' }).watchProcess();`;
    const idle = new ManagedProcess('idle', ['--input-type=module', '--eval', code]);

    expect(await idle.waitExit()).toBe(1);
    expect(idle.output).toContain('"message":"lifecycle: ended","reason":"nothing_left"');
  });

  // Guards against a refused start whose reason is on standard error only, which is not kept.
  it('should name the reason of a refused start', async () => {
    const missing = path.join(folder, 'missing.yaml');
    const refused = new ManagedProcess('daemon', [daemon, '--config', missing]);

    expect(await refused.waitExit()).toBe(2);
    expect(refused.output).toContain('"message":"lifecycle: ended","reason":"start_refused"');
  });
});
