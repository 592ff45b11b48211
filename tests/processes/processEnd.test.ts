import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { constants } from 'node:fs';
import { mkdtemp, open, rm, writeFile } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import ManagedProcess from '../../examples/fleet/ManagedProcess.ts';

const daemon = fileURLToPath(new URL('../../dist/daemon/main.js', import.meta.url));
const maxStartMs = 30_000;
// The platform kills a process that takes longer to stop.
const maxStopMs = 6000;

async function createPipe(file: string) {
  await promisify(execFile)('mkfifo', [file]);
  const reader = await open(file, constants.O_RDWR | constants.O_NONBLOCK);
  return { reader, writer: await open(file, constants.O_WRONLY) };
}

async function waitText(reader: FileHandle, expected: string): Promise<void> {
  const buffer = Buffer.alloc(4096);
  let text = '';
  while (!text.includes(expected)) {
    const { bytesRead } = await reader.read(buffer).catch(() => ({ bytesRead: 0 }));
    text += buffer.toString('latin1', 0, bytesRead);
    if (bytesRead === 0) await sleep(20);
  }
}

async function fillPipe(pipe: FileHandle, bytes: number): Promise<void> {
  const isFull = await pipe.write(Buffer.alloc(bytes)).then(
    () => false,
    () => true,
  );
  if (!isFull) await fillPipe(pipe, bytes);
  else if (bytes > 1) await fillPipe(pipe, 1);
}

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

  /** Arguments of a daemon with code that runs in it on SIGUSR2. */
  function createArguments(code: string): readonly string[] {
    const module = `data:text/javascript,process.on("SIGUSR2",()=>{${encodeURIComponent(code)}})`;
    return ['--import', module, daemon, '--config', file];
  }

  /** Starts the daemon, with code that runs in it on a signal, and sends the signal. */
  async function endDaemon(signal: NodeJS.Signals, code = '') {
    const running = new ManagedProcess('daemon', createArguments(code));
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

  // Guards against a process that can't end, and is killed in its stop, because nobody reads its
  // output any more: a write to a full pipe blocks for ever.
  it.each([
    ['on a signal to stop', 'SIGTERM', 0],
    ['at an error that nothing handles', 'SIGUSR2', 1],
  ] as const)(
    'should end %s while nobody reads its output',
    async (_title, signal, exitCode) => {
      const { reader, writer } = await createPipe(path.join(folder, `output-${signal}`));
      const child = spawn(process.execPath, createArguments('throw new RangeError("broken")'), {
        stdio: ['ignore', writer.fd, writer.fd],
      });
      await waitText(reader, 'lifecycle: started');
      await fillPipe(reader, 4096);

      child.kill(signal);
      const ended = once(child, 'exit').then(([code]) => code as number);
      const result = await Promise.race([ended, sleep(maxStopMs, 'still running')]);

      child.kill('SIGKILL');
      await Promise.all([ended, reader.close(), writer.close()]);
      expect(result).toBe(exitCode);
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
