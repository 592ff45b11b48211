import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

import { describe, expect, it } from 'vitest';

import readDescriptorLimit from '../../src/adapters/system/readDescriptorLimit.ts';
import { splitControlDescriptors } from '../../src/domain/settings/splitDescriptors.ts';

function createLimits(files: number): () => Promise<string> {
  return async () =>
    `Limit                     Soft Limit           Hard Limit           Units\nMax open files            ${files}                 ${files}                 files\n`;
}

describe('limit of descriptors', () => {
  // Guards against control hosts that close the connections of their own fleet, since they take a
  // limit of files for one of connections: entry hosts miss presets, and operators get no answer.
  it('should let a control host take the connections of a large fleet', async () => {
    const hosts = 292;
    const upstreams = 600;

    const limit = await readDescriptorLimit({
      maxDescriptors: 4096,
      readLimits: createLimits(200),
      canOpen: async () => true,
    });

    const { operators, peers } = splitControlDescriptors(limit);
    expect(peers).toBeGreaterThan(hosts);
    expect(operators).toBeGreaterThan(upstreams);
  });

  it.each([
    [undefined, 1000, 1000],
    [64, 1000, 64],
    [4096, 1000, 1000],
  ])(
    'should be at most that of the settings (%s) and of the sockets',
    async (max, os, expected) => {
      const limit = await readDescriptorLimit({
        maxDescriptors: max,
        readLimits: createLimits(os),
        canOpen: async (count) => count < os,
      });

      expect(limit).toBe(expected);
    },
  );

  // Guards against strangers that use up the descriptors of a process whose settings allow more
  // than the operating system.
  it('should be that of the operating system where it holds for sockets', async () => {
    const module = new URL('../../src/adapters/system/readDescriptorLimit.ts', import.meta.url);
    const program = `import(${JSON.stringify(module.href)}).then(async ({ default: read }) => {
      process.stdout.write(String(await read({ maxDescriptors: 4096 })));
    });`;
    const { stdout } = await promisify(execFile)('sh', [
      '-c',
      'ulimit -n 300 && exec "$0" --import tsx --eval "$1"',
      process.execPath,
      program,
    ]);

    expect(stdout).toBe('300');
  });
});
