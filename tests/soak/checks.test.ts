import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { describe, expect, it } from 'vitest';

import { listeners } from '../fixtures/PlatformFleet.ts';
import type { SoakEvent } from './SoakEvent.ts';
import SoakHistory from './SoakHistory.ts';
import checkRun, { soakChecks } from './checkRun.ts';
import { createAnswerParts } from './checks/MixedCheck.ts';
import drawPlan from './drawPlan.ts';
import sendStrangers from './sendStrangers.ts';
import shrinkPlan from './shrinkPlan.ts';

type Timed = readonly [number, SoakEvent];

const host = 'e1';
const upstream = 'i-1';

function createRequest(id: string, service = 'bookings'): SoakEvent {
  return { kind: 'request_sent', id, host, service, mayRepeat: service !== 'bookings' };
}

function createArrival(id: string, at: string, service = 'bookings'): SoakEvent {
  return { kind: 'request_arrived', id, upstream: at, service };
}

function createRun(id: string, at: string): SoakEvent {
  return { kind: 'request_ran', id, upstream: at };
}

function createAnswer(id: string, status: number): SoakEvent {
  return { kind: 'request_answered', id, status, ...createAnswerParts(id, upstream) };
}

function disturb(disturbance: 'kill' | 'stop', role: 'control' | 'entry' = 'entry'): SoakEvent {
  return { kind: 'host_disturbed', host: role === 'entry' ? host : 'c1', role, disturbance };
}

const served: readonly Timed[] = [
  [100, createRequest('r1')],
  [110, createArrival('r1', upstream)],
  [111, createRun('r1', upstream)],
  [150, createAnswer('r1', 200)],
];
const waiting: readonly Timed[] = [[100, createRequest('r1')]];
const presets: readonly Timed[] = [
  [0, { kind: 'preset_sent', number: 1, service: 'looks' }],
  [10, { kind: 'preset_acknowledged', number: 1 }],
  [5000, { kind: 'preset_sent', number: 2, service: 'bookings' }],
  [5100, { kind: 'preset_acknowledged', number: 2 }],
];
const manyRepeats: readonly Timed[] = Array.from({ length: 12 }, (_, index) => [
  1000 + index,
  createArrival('r1', `i-${index}`),
]);

/** Histories that break one rule, each by a planted fault. */
const faults: readonly (readonly [string, string, readonly Timed[]])[] = [
  ['TWICE', 'an operation that ran at two upstreams', [...served, [160, createRun('r1', 'i-2')]]],
  ['REFUSED', 'a refusal after a run', [...served.slice(0, 3), [150, createAnswer('r1', 503)]]],
  [
    'MIXED',
    'the answer to another request',
    [
      ...served,
      [200, createRequest('r2')],
      [
        250,
        { kind: 'request_answered', id: 'r2', status: 200, ...createAnswerParts('r1', upstream) },
      ],
    ],
  ],
  [
    'MIXED',
    'a part of an answer',
    [
      ...served.slice(0, 3),
      [
        150,
        {
          ...{ kind: 'request_answered', id: 'r1', status: 200 },
          ...{ signature: createAnswerParts('r1', upstream).signature, body: 'r1 at' },
        },
      ],
    ],
  ],
  ['MIXED', 'an answer that no upstream gave', [served[0] as Timed, served[3] as Timed]],
  [
    'DRAIN',
    'a request to an upstream that had left',
    [
      [1000, { kind: 'leaving_acknowledged', upstream }],
      [3100, createRequest('r1')],
      [3110, createArrival('r1', upstream)],
    ],
  ],
  [
    'LOST',
    'a request that is cut in a planned stop',
    [...served.slice(0, 2), [120, disturb('stop')], [900, { kind: 'request_cut', id: 'r1' }]],
  ],
  [
    'LOST',
    'a request that is cut late in a planned stop',
    [...waiting, [120, disturb('stop')], [310, { kind: 'request_cut', id: 'r1' }]],
  ],
  [
    'CONFIG',
    'a request that goes by an older preset',
    [
      ...presets,
      [7200, createRequest('r1', 'moving')],
      [7210, createArrival('r1', upstream, 'looks')],
    ],
  ],
  [
    'CONFIG',
    'a read of an older preset',
    [...presets, [7500, { kind: 'preset_read', host: 'c1', number: 1, tookMs: 300 }]],
  ],
  [
    'CONFIG',
    'an acknowledged preset that is gone',
    [...presets, [9000, { kind: 'last_read', number: 1 }]],
  ],
  ['BUDGET', 'too many repeats', [[990, createRequest('r1', 'looks')], ...manyRepeats]],
  [
    'RECOVER',
    'callers that are not served again',
    [
      [1000, { kind: 'faults_ended' }],
      [17_000, createRequest('r1')],
      [17_100, createAnswer('r1', 503)],
    ],
  ],
  [
    'RECOVER',
    'callers that are still refused connections',
    [
      [1000, { kind: 'faults_ended' }],
      ...served.map(([at, event]): Timed => [17_000 + at, event]),
      ...Array.from({ length: 4 }, (): Timed => [17_500, { kind: 'connection_refused', host }]),
    ],
  ],
  ['PROCESS', 'a process that ends by itself', [[500, { kind: 'host_exited', host, code: 1 }]]],
  [
    'PROCESS',
    'a process that uses too much memory',
    [[500, { kind: 'memory_measured', host, mib: 251 }]],
  ],
];

/** Histories that keep all rules, although they look alike. */
const allowed: readonly (readonly [string, readonly Timed[]])[] = [
  ['a request that is served', served],
  [
    'a cut by a host that is killed',
    [...served.slice(0, 2), [120, disturb('kill')], [125, { kind: 'request_cut', id: 'r1' }]],
  ],
  [
    'a cut of a request that was not passed on',
    [...waiting, [120, { kind: 'request_cut', id: 'r1' }]],
  ],
  [
    'a late cut by a host that is killed',
    [...waiting, [120, disturb('kill')], [310, { kind: 'request_cut', id: 'r1' }]],
  ],
  ['a cut at the deadline of the request', [...waiting, [3100, { kind: 'request_cut', id: 'r1' }]]],
  [
    'a cut that the soak itself saw late',
    [
      ...waiting,
      [310, { kind: 'request_cut', id: 'r1' }],
      [315, { kind: 'soak_stalled', tookMs: 60 }],
    ],
  ],
  ['a connection that is refused', [[100, { kind: 'connection_refused', host }]]],
  [
    'a late request to a leaving upstream while a control host is down',
    [
      [900, disturb('kill', 'control')],
      [1000, { kind: 'leaving_acknowledged', upstream }],
      [3100, createRequest('r1')],
      [3110, createArrival('r1', upstream)],
    ],
  ],
  [
    'a read that was sent before the newer preset binds',
    [...presets, [7200, { kind: 'preset_read', host: 'c1', number: 1, tookMs: 300 }]],
  ],
];

function createHistory(events: readonly Timed[]): SoakHistory {
  const history = new SoakHistory();
  events.forEach(([at, event]) => history.record(event, at));
  return history;
}

function listBroken(events: readonly Timed[]): readonly string[] {
  return checkRun(createHistory(events))
    .filter(({ violations }) => violations.length > 0)
    .map(({ name }) => name);
}

describe('checks of the soak', () => {
  // Guards against a soak that can't fail.
  it.each(faults)('should find a planted fault of %s: %s', (name, _title, events) => {
    expect(listBroken(events)).toContain(name);
  });

  it.each(allowed)('should find no fault in %s', (_title, events) => {
    expect(listBroken(events)).toEqual([]);
  });

  it('should have a planted fault for each check', () => {
    const planted = new Set(faults.map(([name]) => name));

    expect(soakChecks.map(({ name }) => name).filter((name) => !planted.has(name))).toEqual([]);
  });
});

describe('plans of the soak', () => {
  const size = { seed: 7, durationMs: 60_000, size: 4 };

  it('should be the same for the same seed', () => {
    expect(drawPlan(size)).toEqual(drawPlan(size));
    expect(drawPlan(size).steps).not.toEqual(drawPlan({ ...size, seed: 8 }).steps);
  });

  // Guards against a listener that only meets well-formed input.
  it('should send strangers to each listener of each host', () => {
    const { steps, controlHosts, entryHosts } = drawPlan(size);
    const reached = steps.flatMap((step) =>
      step.kind === 'strangers' ? [`${step.role} ${step.target} ${step.listener}`] : [],
    );
    const count = controlHosts * listeners.control.length + entryHosts * listeners.entry.length;

    expect(new Set(reached).size).toBe(count);
  });

  // Guards against stops that are only seen one at a time and with one signal.
  it('should stop all hosts in a series with second signals, reloads and presets', () => {
    const steps = [1, 2, 3].flatMap((seed) => [...drawPlan({ ...size, seed }).steps]);
    const stops = steps.flatMap((step) => (step.kind === 'stop' ? [step] : []));

    expect(new Set(stops.map(({ role, target }) => `${role} ${target}`)).size).toBe(7);
    expect(new Set(stops.map(({ again }) => again?.signal))).toEqual(
      new Set(['SIGTERM', 'SIGHUP', undefined]),
    );
    expect(stops.some(({ reloadMs }) => reloadMs !== undefined && reloadMs < 500)).toBe(true);
  });

  it('should be cut down to the steps that are needed to fail', async () => {
    const plan = drawPlan(size);
    const needed = [plan.steps[3], plan.steps.at(-2)];

    const shortest = await shrinkPlan(plan, async ({ steps }) =>
      needed.every((step) => step !== undefined && steps.includes(step)),
    );

    expect(shortest.steps.length).toBeLessThanOrEqual(4);
    expect(shortest.steps).toEqual(expect.arrayContaining(needed));
  });
});

describe('strangers of the soak', () => {
  // Guards against strangers that can't end a process whose socket has no error listener.
  it('should reset connections whose upgrade was read', async () => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const reset = new Promise<string>((resolve) => {
      server.on('upgrade', (_request, socket: Socket) => {
        socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''));
        socket.end('HTTP/1.1 401 Unauthorized\r\n\r\n');
      });
    });

    await sendStrangers(
      { address: '127.0.0.1', port: (server.address() as AddressInfo).port },
      {
        ...({ kind: 'strangers', role: 'control', target: 0, listener: 'peers' } as const),
        ...({ input: 'upgrade', ending: 'reset', count: 20, atMs: 0, forMs: 2000 } as const),
      },
    );

    expect(await reset).toMatch(/^(ECONNRESET|EPIPE)$/);
    server.close();
  });
});
