import { randomUUID } from 'node:crypto';
import { writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

import { stringify } from 'yaml';

import ProcessFleet from './ProcessFleet.ts';

/** One stand-in upstream of the example. */
export interface ExampleUpstream {
  readonly name: string;
  readonly service: string;
  readonly address: string;
  /** Address of the listener through which the faults of the upstream are set. */
  readonly control: string;
}

/** Process counts and latency of the example. */
export interface ExampleSizes {
  readonly controlHosts: number;
  readonly entryHosts: number;
  /** Number of stand-in upstreams for each of the two services. */
  readonly upstreams: number;
  /** Time that an upstream takes to answer a request. */
  readonly latencyMs: number;
  /** Node.js arguments of the entry hosts, for example to profile them. */
  readonly entryNodeArguments?: readonly string[];
}

/** The hosts and upstreams of a running example. */
export interface ExampleFleet {
  readonly hosts: ProcessFleet;
  readonly upstreams: readonly ExampleUpstream[];
  readonly stopAll: () => Promise<Readonly<Record<string, number | string>>>;
}

// Exit code of the operators' tool when no leader answered.
const unreachableExitCode = 3;

const standInProgram = fileURLToPath(
  new URL('../../tests/stand-in/standInUpstream.mjs', import.meta.url),
);

/** Creates the preset of the example as YAML; the example changes `deadlineMs` while it runs. */
export function createExamplePreset(sizes: ExampleSizes, deadlineMs: number): string {
  const service = {
    upstreams: sizes.upstreams,
    floor: Math.max(1, Math.ceil(sizes.upstreams / 2)),
    detection: 'fast',
    ramp_ms: 0,
    objective: { good_share: 0.99, within_ms: 500 },
  };
  return stringify({
    fleet: { entry_hosts: sizes.entryHosts },
    services: { history: service, bookings: service },
    routes: [
      {
        method: 'GET',
        path: '/history/:filter',
        service: 'history',
        repeat: 'allowed',
        deadline_ms: deadlineMs,
      },
      {
        method: 'POST',
        path: '/bookings',
        service: 'bookings',
        repeat: 'never',
        deadline_ms: deadlineMs,
      },
    ],
  });
}

async function startUpstreams(
  hosts: ProcessFleet,
  sizes: ExampleSizes,
): Promise<readonly ExampleUpstream[]> {
  const names = ['history', 'bookings'].flatMap((service) =>
    Array.from({ length: sizes.upstreams }, (_, index) => ({
      service,
      name: `${service}-${index + 1}`,
    })),
  );
  const domains = ['north', 'centre', 'south'];
  const upstreams: ExampleUpstream[] = [];
  for (const { service, name } of names) {
    const address = await hosts.takeAddress();
    const control = await hosts.takeAddress();
    hosts.startProcess(name, [
      standInProgram,
      ...['--service', service, '--upstream', name, '--address', address, '--control', control],
      ...['--failure-domain', domains[upstreams.length % domains.length] ?? ''],
      ...['--announce', hosts.entryHosts.map(({ platform }) => platform).join(',')],
      ...['--latency-ms', String(sizes.latencyMs)],
    ]);
    upstreams.push({ name, service, address, control });
  }
  return upstreams;
}

/** Resends a change until the control group accepts it; with its change id it applies only once. */
async function runChange(hosts: ProcessFleet, args: readonly string[]): Promise<void> {
  const command = ['preset', ...args, '--change-id', randomUUID()];
  await hosts.waitUntil(command.join(' '), async () => {
    const { code, output } = await hosts.runTool(command);
    if (code === 0 || code === unreachableExitCode) return code === 0;
    throw new Error(`${command.join(' ')} exited with ${code}: ${output}`);
  });
}

/** Stores a preset with the operators' tool; throws with the tool's output when it is refused. */
export async function applyPreset(
  hosts: ProcessFleet,
  change: { readonly name: string; readonly text: string; readonly basedOn: number },
): Promise<void> {
  const file = hosts.getPath(`${change.name}.preset.yaml`);
  await writeFile(file, change.text);
  await runChange(hosts, ['put', change.name, file, '--based-on', String(change.basedOn)]);
}

/** Waits until a new control group has a leader, then stores and selects the preset `ordinary`. */
export async function applyFirstPreset(hosts: ProcessFleet, sizes: ExampleSizes): Promise<void> {
  await hosts.waitUntil('the control group has a leader', async () => {
    const list = await hosts.runTool(['preset', 'list']);
    return list.code === 0;
  });
  const text = createExamplePreset(sizes, 5000);
  await applyPreset(hosts, { name: 'ordinary', text, basedOn: 0 });
  await runChange(hosts, ['use', 'ordinary', '--based-on', '0']);
}

async function startProcesses(
  hosts: ProcessFleet,
  sizes: ExampleSizes,
): Promise<readonly ExampleUpstream[]> {
  hosts.startAllHosts(sizes.entryNodeArguments);
  const upstreams = await startUpstreams(hosts, sizes);
  await applyFirstPreset(hosts, sizes);
  await hosts.waitUntil('every entry host is ready', async () => {
    const ready = await Promise.all(hosts.entryHosts.map((host) => hosts.isReady(host)));
    return ready.every(Boolean);
  });
  return upstreams;
}

/**
 * Starts all processes, stores a first preset and waits until every entry host is ready. When one
 * of these steps fails, stops the processes and throws.
 */
export async function startExampleFleet(sizes: ExampleSizes): Promise<ExampleFleet> {
  const hosts = await ProcessFleet.createFleet(sizes);
  try {
    const upstreams = await startProcesses(hosts, sizes);
    return { hosts, upstreams, stopAll: () => hosts.stopAll() };
  } catch (error) {
    await hosts.stopAll();
    throw error;
  }
}
