import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

import type { FleetHost } from '../../examples/fleet/ProcessFleet.ts';
import type ProcessFleet from '../../examples/fleet/ProcessFleet.ts';
import type { ExampleFleet, ExampleSizes } from '../../examples/fleet/startExampleFleet.ts';
import { startExampleFleet } from '../../examples/fleet/startExampleFleet.ts';
import { printSizes } from './measure.ts';

const idleMs = 12_000;
// On a busy machine, the leader can change between two calls of the operators' tool, and the start
// of the fleet then fails.
const startAttempts = 4;

interface Usage {
  readonly processorSeconds: number;
  readonly residentMb: number;
  /** Bytes that the process wrote: messages, and on control hosts also the log. */
  readonly writtenBytes: number;
}

async function readUsage(fleet: ProcessFleet, host: FleetHost): Promise<Usage> {
  const answer = await request(`http://${host.platform}/metrics`);
  const text = await answer.body.text();
  const readValue = (name: string): number =>
    Number(new RegExp(`^${name} ([0-9.e+-]+)`, 'm').exec(text)?.[1] ?? Number.NaN);
  const counters = await readFile(`/proc/${fleet.getProcess(host.host).pid}/io`, 'utf8');
  return {
    processorSeconds: readValue('process_cpu_seconds_total'),
    residentMb: readValue('process_resident_memory_bytes') / 1e6,
    writtenBytes: Number(/^wchar: (\d+)/m.exec(counters)?.[1] ?? Number.NaN),
  };
}

async function startFleet(
  sizes: ExampleSizes,
  attempts: number = startAttempts,
): Promise<ExampleFleet> {
  try {
    return await startExampleFleet(sizes);
  } catch (error) {
    if (attempts <= 1) throw error;
    return startFleet(sizes, attempts - 1);
  }
}

async function measureIdleFleet(entryHosts: number) {
  const sizes = { controlHosts: 3, entryHosts, upstreams: 3, latencyMs: 0 };
  const { hosts: fleet, stopAll } = await startFleet(sizes);
  await sleep(4000);
  const all = [...fleet.controlHosts, ...fleet.entryHosts];
  const before = await Promise.all(all.map((host) => readUsage(fleet, host)));
  await sleep(idleMs);
  const after = await Promise.all(all.map((host) => readUsage(fleet, host)));
  await stopAll();
  const usages = after.map((usage, index) => ({
    processorMs: (usage.processorSeconds - (before[index]?.processorSeconds ?? 0)) * 1000,
    residentMb: usage.residentMb,
    writtenBytes: usage.writtenBytes - (before[index]?.writtenBytes ?? 0),
  }));
  // The control host that used the most processor time is taken to be the leader.
  const controlUsages = usages.slice(0, 3).sort((a, b) => b.processorMs - a.processorMs);
  const roles = {
    entry: usages.slice(3),
    leader: controlUsages.slice(0, 1),
    follower: controlUsages.slice(1),
  };
  return Object.fromEntries(
    Object.entries(roles).flatMap(([role, roleUsages]) => {
      const computeMean = (read: (usage: (typeof usages)[number]) => number): number =>
        roleUsages.reduce((sum, usage) => sum + read(usage), 0) / roleUsages.length;
      return [
        [`${role}: % of a core`, (computeMean((usage) => usage.processorMs) / idleMs) * 100],
        [`${role}: resident MB`, computeMean((usage) => usage.residentMb)],
        [`${role}: KB written per s`, computeMean((usage) => usage.writtenBytes) / idleMs],
      ];
    }),
  );
}

/** Measures idle daemons of both roles in fleets with several numbers of entry hosts. */
export default function measureDaemons(): Promise<void> {
  return printSizes({
    title:
      'idle daemons, 3 control hosts, 6 stand-in upstreams that renew their lease every second',
    sizeName: 'entry hosts',
    sizes: [3, 6, 12, 24],
    futureSize: 1100,
    measure: measureIdleFleet,
  });
}
