import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

import type { FleetHost } from '../../examples/fleet/ProcessFleet.ts';
import type ProcessFleet from '../../examples/fleet/ProcessFleet.ts';
import type { ExampleFleet, ExampleSizes } from '../../examples/fleet/startExampleFleet.ts';
import { startExampleFleet } from '../../examples/fleet/startExampleFleet.ts';
import { printSizes } from './measure.ts';

const idleMs = 12_000;
// A busy machine can change the control group's leader between two calls of the operators' tool.
const startAttempts = 4;

interface Usage {
  readonly processorSeconds: number;
  readonly residentMb: number;
  /** Bytes of all write calls: messages, and on control hosts the log. */
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
  const spent = after.map((usage, index) => ({
    processorMs: (usage.processorSeconds - (before[index]?.processorSeconds ?? 0)) * 1000,
    residentMb: usage.residentMb,
    writtenBytes: usage.writtenBytes - (before[index]?.writtenBytes ?? 0),
  }));
  // The control host that spends the most leads.
  const control = spent.slice(0, 3).sort((a, b) => b.processorMs - a.processorMs);
  const roles = { entry: spent.slice(3), leader: control.slice(0, 1), follower: control.slice(1) };
  return Object.fromEntries(
    Object.entries(roles).flatMap(([role, list]) => {
      const computeMean = (read: (one: (typeof spent)[number]) => number): number =>
        list.reduce((sum, one) => sum + read(one), 0) / list.length;
      return [
        [`${role}: % of a core`, (computeMean((one) => one.processorMs) / idleMs) * 100],
        [`${role}: resident MB`, computeMean((one) => one.residentMb)],
        [`${role}: KB written per s`, computeMean((one) => one.writtenBytes) / idleMs],
      ];
    }),
  );
}

/** Idle daemons of both roles at several numbers of entry hosts. */
export default function measureDaemons(): Promise<void> {
  return printSizes({
    title: 'idle daemons, 3 control hosts, 6 stand-in upstreams that renew every second',
    sizeName: 'entry hosts',
    sizes: [3, 6, 12, 24],
    futureSize: 1100,
    measure: measureIdleFleet,
  });
}
