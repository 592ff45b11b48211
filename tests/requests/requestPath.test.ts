import { once } from 'node:events';
import { createServer, request as startRequest } from 'node:http';
import type { IncomingMessage, RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { fetch } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute, createService } from '../fixtures/createPreset.ts';

describe('request path', () => {
  const servers: Server[] = [];
  const paths: EntryPath[] = [];

  async function startPath(listener: RequestListener): Promise<EntryPath> {
    const server = createServer(listener);
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const path = await createEntryPath({ upstreams: [createUsable('a', `127.0.0.1:${port}`)] });
    paths.push(path);
    return path;
  }

  afterEach(async () => {
    await Promise.all(paths.splice(0).map((path) => path.close()));
    servers.splice(0).forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  });

  it('should return the whole answer of the upstream with the outcome ran', async () => {
    const path = await startPath((request, response) => response.end(`answer to ${request.url}`));

    const answer = await fetch(`${path.origin}/history/f-7?from=2026`);

    expect(answer.status).toBe(200);
    expect(answer.headers.get('pistachiohoist-outcome')).toBe('ran');
    expect(await answer.text()).toBe('answer to /history/f-7?from=2026');
  });

  // Guards against a refusal as an unknown route, which callers do not repeat, of an upload whose
  // route moves to another service meanwhile.
  it('should serve a request whose body arrives after its service left the preset', async () => {
    const path = await startPath((_request, response) => response.end('answer'));
    const route = { method: 'POST', path: '/uploads' };
    path.usePreset(createPreset({ routes: [createRoute(route)] }));
    const headers = { expect: '100-continue', 'transfer-encoding': 'chunked' };
    const upload = startRequest(`${path.origin}/uploads`, { method: 'POST', headers });
    const answered = once(upload, 'response');
    upload.flushHeaders();
    await once(upload, 'continue');

    path.usePreset(
      createPreset({
        services: { ovens: createService() },
        routes: [createRoute({ ...route, service: 'ovens' })],
      }),
    );
    upload.end('last');
    const [answer] = (await answered) as [IncomingMessage];

    expect(answer.statusCode).toBe(200);
  });

  it('should send the deadline to the upstream', async () => {
    const path = await startPath((request, response) =>
      response.end(request.headers['pistachiohoist-deadline']),
    );
    const deadline = Date.now() + 500;

    const answer = await fetch(`${path.origin}/history/f-7`, {
      headers: { 'pistachiohoist-deadline': String(deadline) },
    });

    expect(await answer.text()).toBe(String(deadline));
  });

  // Guards against passing on a truncated body as a complete one.
  it('should refuse an answer that ends before its content length', async () => {
    const path = await startPath((_request, response) => {
      response.writeHead(200, { 'content-length': '100' });
      response.write('part');
      setTimeout(() => response.destroy(), 20);
    });

    const answer = await fetch(`${path.origin}/history/f-7`);

    expect(answer.status).toBe(502);
    expect(answer.headers.get('pistachiohoist-error')).toBe('answer_truncated');
  });

  it('should answer a path without a route with 404 and the outcome not-run', async () => {
    const path = await startPath((_request, response) => response.end());

    const answer = await fetch(`${path.origin}/nothing`);

    expect(answer.status).toBe(404);
    expect(answer.headers.get('pistachiohoist-outcome')).toBe('not-run');
  });
});
