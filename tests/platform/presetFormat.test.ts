import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import PlatformPresetFormat from '../../platform/PlatformPresetFormat.ts';
import presetPath from '../../platform/presetPath.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import SystemRandomSource from '../../src/adapters/system/SystemRandomSource.ts';
import PresetCheckCommand from '../../src/cli/PresetCheckCommand.ts';
import runCommandLine from '../../src/cli/runCommandLine.ts';

const createDocument = (timeout: string, ...apiKeys: string[]): string =>
  JSON.stringify({
    version: 1,
    routes: [
      { host: 'a', pathPrefix: '/a/', kind: 'safe', timeout, objective: '2s', service: 'history' },
      { host: 'a', pathPrefix: '/b', kind: 'safe', timeout: '3s', service: 'history' },
    ],
    services: [{ name: 'history' }],
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864 },
      ...{ headerTimeout: '3s', idleTimeout: '15s' },
    },
    tenants: [{ name: 'depots', apiKeys }],
  });

describe('check of a configuration of the platform', () => {
  const servers: ReturnType<typeof createServer>[] = [];

  afterEach(() => servers.splice(0).forEach((server) => void server.close()));

  async function openServer(answer: (response: ServerResponse) => void): Promise<string> {
    const server = createServer((_request: IncomingMessage, response) => answer(response));
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  async function check(text: string, addresses: readonly string[] = []) {
    let output = '';
    const code = await runCommandLine({
      parameters: [
        ...['preset', 'check', 'a.json', '--json'],
        ...addresses.flatMap((address) => ['--server', address]),
      ],
      environment: {},
      clock: new SystemClock(),
      random: new SystemRandomSource(),
      readFile: async () => text,
      writeFile: async () => undefined,
      writeOutput: (written) => void (output += written),
      writeError: (written) => void (output += written),
      commands: [new PresetCheckCommand({ format: new PlatformPresetFormat() })],
    });
    return { code, output, value: JSON.parse(output) };
  }

  it('should report findings with the keys of the document', async () => {
    const { code, value } = await check(createDocument('1s'));

    expect(code).toBe(1);
    expect(value.findings.map((finding: { key: string }) => finding.key)).toEqual([
      'routes.1.pathPrefix',
      'tenants.0.apiKeys',
      'routes.0.objective',
      'limits.maxBodyBytes',
    ]);
    const refused = await check(createDocument('0s'));
    expect(refused.value.findings).toMatchObject([
      { code: 'document_invalid', key: 'routes.0.timeout' },
    ]);
  });

  // Guards against a comparison that fails at a control host that is down or not the leader.
  it('should compare with the active configuration and print no key', async () => {
    const leader = await openServer((response) => response.end(createDocument('3s', 'key-1')));
    const follower = await openServer((response) => {
      response.writeHead(307, { location: `http://${leader}${presetPath}` }).end();
    });
    const { output, value } = await check(createDocument('4s', 'key-2'), ['127.0.0.1:1', follower]);

    expect(value).toMatchObject({ comparison: 'compared', notes: 2 });
    expect(output).toContain('"key":"routes.0.timeout","message"');
    expect(output).toContain('1 keys added and 1 removed');
    expect(output).not.toContain('key-');
  });

  it('should check without a comparison while no configuration is active', async () => {
    const server = await openServer((response) => {
      response.writeHead(503).end('{"error":"preset_unknown","message":""}');
    });

    expect((await check(createDocument('3s', 'k'), [server])).value.comparison).toBe('none_active');
    expect((await check(createDocument('3s', 'k'), ['127.0.0.1:1'])).code).toBe(3);
  });
});
