import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import ManagedProcess from '../../examples/fleet/ManagedProcess.ts';

const daemon = fileURLToPath(new URL('../../dist/daemon/main.js', import.meta.url));

describe('start of a daemon', () => {
  let folder: string;
  let portHolder: Server;

  beforeAll(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'pistachiohoist-'));
    portHolder = createServer();
    await new Promise<void>((resolve) => {
      portHolder.listen(0, '127.0.0.1', resolve);
    });
  });

  afterAll(async () => {
    portHolder.close();
    await rm(folder, { recursive: true });
  });

  function createSettings(changes: Record<string, string> = {}): string {
    const lines = {
      host: 'control-1',
      failure_domain: 'north',
      role: 'control',
      listen: '{ operators: 127.0.0.1:0, platform: 127.0.0.1:0, peers: 127.0.0.1:0 }',
      control: '[{ host: control-1, address: 127.0.0.1:9002 }]',
      peer_key: 'a-key-of-sixteen-letters',
      operator_key: 'another-key-of-sixteen',
      data_folder: path.join(folder, 'data'),
      ...changes,
    };
    return Object.entries(lines)
      .map(([key, value]) => `${key}: ${value}\n`)
      .join('');
  }

  async function runDaemon(text: string) {
    const file = path.join(folder, 'daemon.yaml');
    await writeFile(file, text);
    const checked = new ManagedProcess('daemon', [daemon, '--config', file, '--check-config']);
    return { code: await checked.waitExit(), output: checked.output, file };
  }

  it('should print nothing and exit with 0 when the settings are valid', async () => {
    expect(await runDaemon(createSettings())).toMatchObject({ code: 0, output: '' });
  });

  // Guards against a daemon that starts with invalid settings and then fails or does something that
  // the operator did not intend.
  it.each([
    ['an unknown key', () => ({ colour: 'red' }), 'key colour: value "red"'],
    [
      'a port in use',
      () => {
        const { port } = portHolder.address() as AddressInfo;
        const free = 'platform: 127.0.0.1:0, peers: 127.0.0.1:0';
        return { listen: `{ operators: 127.0.0.1:${port}, ${free} }` };
      },
      'key listen.operators: value "127.0.0.1:',
    ],
    [
      'a data folder that is a file',
      () => ({ data_folder: path.join(folder, 'daemon.yaml') }),
      'key data_folder: value',
    ],
  ])(
    'should refuse %s with exit code 2 and one line of output',
    async (_, createChanges, expected) => {
      const { code, output, file } = await runDaemon(createSettings(createChanges()));

      expect(code).toBe(2);
      expect(output.trim().split('\n')).toHaveLength(1);
      expect(output).toContain(file);
      expect(output).toContain(expected);
    },
  );
});
