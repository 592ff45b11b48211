import { once } from 'node:events';
import { createServer, request as startRequest } from 'node:http';
import type { IncomingHttpHeaders, Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { fetch } from 'undici';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { TeamSettings } from '../../src/domain/presets/Preset.ts';
import TeamCounters from '../../src/domain/teams/TeamCounters.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';

const depots: TeamSettings = { name: 'depots', keys: ['key-1', 'key-2'], burst: 0 };
const shippers: TeamSettings = { name: 'shippers', keys: ['key-3'], burst: 0 };
const routes = [
  createRoute(),
  createRoute({ path: '/status', isPublic: true }),
  createRoute({ method: 'POST', path: '/uploads' }),
];

describe('keys of teams', () => {
  const received: IncomingHttpHeaders[] = [];
  let server: Server;
  let path: EntryPath;
  let counters: TeamCounters;

  beforeEach(async () => {
    received.length = 0;
    counters = new TeamCounters();
    server = createServer((request, response) => {
      received.push(request.headers);
      response.end('answer');
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    path = await createEntryPath({
      upstreams: [createUsable('a', `127.0.0.1:${port}`)],
      preset: createPreset({ routes, teams: [depots, shippers] }),
      teamObserver: counters,
    });
  });

  afterEach(async () => {
    await path.close();
    server.closeAllConnections();
    server.close();
  });

  async function send(target: string, headers: Readonly<Record<string, string>>): Promise<number> {
    const answer = await fetch(`${path.origin}${target}`, { headers });
    await answer.text();
    return answer.status;
  }

  it.each(['key-1', 'key-2'])('should tell the upstream the team that holds %s', async (key) => {
    const status = await send('/history/1', { 'pistachiohoist-key': key });

    expect(status).toBe(200);
    expect(received[0]).toMatchObject({ 'pistachiohoist-team': 'depots' });
    expect(received[0]).not.toHaveProperty('pistachiohoist-key');
  });

  // Guards against a caller that works in the name of another team.
  it('should replace the name of a team that the caller sent', async () => {
    await send('/history/1', { 'pistachiohoist-key': 'key-3', 'pistachiohoist-team': 'depots' });
    await send('/status', { 'pistachiohoist-team': 'depots' });

    expect(received.map((headers) => headers['pistachiohoist-team'])).toEqual([
      'shippers',
      undefined,
    ]);
  });

  it.each([
    { title: 'no key', headers: {} },
    { title: 'an unknown key', headers: { 'pistachiohoist-key': 'key-4' } },
    { title: 'two keys', headers: { 'pistachiohoist-key': 'key-1, key-3' } },
  ])('should refuse a request with $title', async ({ headers }) => {
    const answer = await fetch(`${path.origin}/history/1`, { headers });

    expect(answer.status).toBe(401);
    expect(await answer.json()).toMatchObject({ error: 'team_key_unknown', outcome: 'not-run' });
    expect(received).toEqual([]);
  });

  it('should answer 404 to an unknown route, with or without a key', async () => {
    expect(await send('/unknown', {})).toBe(404);
  });

  it.each<Readonly<Record<string, string>>>([{}, { 'pistachiohoist-key': 'key-4' }])(
    'should serve a public route to a caller with the headers %j',
    async (headers) => {
      expect(await send('/status', headers)).toBe(200);
      expect(received[0]).not.toHaveProperty('pistachiohoist-key');
    },
  );

  it('should name the team on a public route if the key is known', async () => {
    await send('/status', { 'pistachiohoist-key': 'key-3' });

    expect(received[0]).toMatchObject({ 'pistachiohoist-team': 'shippers' });
  });

  // Guards against changes for deployments without teams.
  it('should forward both headers while the preset has no teams', async () => {
    path.usePreset(createPreset({ routes }));
    const headers = { 'pistachiohoist-key': 'key-4', 'pistachiohoist-team': 'depots' };
    const status = await send('/history/1', headers);

    expect(status).toBe(200);
    expect(received[0]).toMatchObject(headers);
  });

  // Guards against a request that runs with a key that was withdrawn while its body arrived.
  it('should refuse a request whose key is withdrawn before its body has arrived', async () => {
    const upload = startRequest(`${path.origin}/uploads`, {
      method: 'POST',
      headers: {
        'pistachiohoist-key': 'key-3',
        expect: '100-continue',
        'transfer-encoding': 'chunked',
      },
    });
    const answered = once(upload, 'response');
    upload.flushHeaders();
    await once(upload, 'continue');
    path.usePreset(createPreset({ routes, teams: [depots, { ...shippers, keys: [] }] }));
    upload.end('body');
    const [answer] = (await answered) as [{ statusCode: number }];

    expect(answer.statusCode).toBe(401);
    expect(received).toEqual([]);
  });

  // Guards against a refusal that operators can neither count nor trace to its cause, and against
  // keys in the log.
  it('should count results by team and log a refusal without the key', async () => {
    const info = vi.spyOn(path.log, 'info');
    await send('/history/1', { 'pistachiohoist-key': 'key-3' });
    await send('/history/1', { 'pistachiohoist-key': 'key-4' });
    await send('/unknown', { 'pistachiohoist-key': 'key-1' });

    expect(counters.listCounts()).toEqual([
      { team: 'shippers', admitted: 1, refused: {} },
      { team: undefined, admitted: 0, refused: { team_key_unknown: 1 } },
      { team: 'depots', admitted: 0, refused: { route_unknown: 1 } },
    ]);
    const calls: readonly (readonly unknown[])[] = info.mock.calls;
    const refusals = calls.filter(([message]) => message === 'requests: refused');
    expect(refusals.map(([, fields]) => fields)).toMatchObject([
      {
        requestId: expect.any(String),
        error: 'team_key_unknown',
        detail: 'GET /history/1: the request has a key that no team holds',
        presetNumber: 1,
      },
      { team: 'depots', error: 'route_unknown' },
    ]);
    expect(JSON.stringify(calls)).not.toMatch(/key-\d/);
  });
});
