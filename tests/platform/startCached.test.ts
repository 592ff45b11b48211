import { execFile } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

const runFile = promisify(execFile);

describe('bundle with a code cache', () => {
  let folder: string;
  let cache: string;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), 'bundle-'));
    cache = join(folder, 'pistachiohoist.cjs.cache');
    await runFile('sh', ['deploy/build.sh', folder]);
  }, 60_000);

  afterAll(() => rm(folder, { recursive: true }));

  /**
   * Starts the daemon without a settings file; the daemon exits with an error, which shows that its
   * code ran.
   */
  async function startDaemon() {
    const env = { ...process.env };
    delete env.PISTACHIOHOIST_BOOT;
    // As in the deploy file. With other flags, V8 would refuse the cache.
    const args = ['--max-old-space-size=160', join(folder, 'start.cjs')];
    return runFile(process.execPath, args, { env }).then(
      () => ({ code: 0, stderr: '' }),
      (error: { readonly code: number; readonly stderr: string }) => error,
    );
  }

  const missingSettings = {
    code: 2,
    stderr:
      'pistachiohoist: variable PISTACHIOHOIST_BOOT is missing: expected the path of the settings file\n',
  };

  it('should be built with a code cache and start with it', async () => {
    expect((await readFile(cache)).length).toBeGreaterThan(100_000);
    expect(await startDaemon()).toMatchObject(missingSettings);
  });

  // Guards against a process that crashes in damaged code.
  it('should start with a damaged cache of the right length', async () => {
    const content = await readFile(cache);
    const start = content.subarray(0, content.length / 2);
    await writeFile(cache, Buffer.concat([start, Buffer.alloc(content.length - start.length)]));

    const started = await startDaemon();
    await writeFile(cache, content);

    expect(started).toMatchObject(missingSettings);
  });

  // Guards against a process that runs the code of an earlier build.
  it('should not use the cache of another bundle of the same length', async () => {
    const bundle = join(folder, 'pistachiohoist.cjs');
    const source = await readFile(bundle, 'utf8');
    await writeFile(
      bundle,
      source.replace('is missing: expected the path', 'is absent!: expected the path'),
    );

    const started = await startDaemon();
    await writeFile(bundle, source);

    expect(started.stderr).toContain('is absent!');
  });

  it.each(['', 'not compiled code'])('should start with an invalid cache: %j', async (content) => {
    await writeFile(cache, content);

    expect(await startDaemon()).toMatchObject(missingSettings);
  });

  it('should start without a cache', async () => {
    await rm(cache);

    expect(await startDaemon()).toMatchObject(missingSettings);
  });

  // Guards against a process that ends because its settings change while it starts.
  it('should not end on a signal to reload before the daemon handles it', async () => {
    const source = "process.kill(process.pid, 'SIGHUP'); setTimeout(() => process.exit(3), 100);";
    await writeFile(join(folder, 'pistachiohoist.cjs'), source);

    expect(await startDaemon()).toMatchObject({ code: 3 });
  });
});
