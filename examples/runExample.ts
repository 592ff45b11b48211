import { Agent, request } from 'undici';
import { v7 } from 'uuid';

import { applyPreset, createExamplePreset, startExampleFleet } from './fleet/startExampleFleet.ts';
import type { ExampleFleet } from './fleet/startExampleFleet.ts';

const sizes = { controlHosts: 3, entryHosts: 3, upstreams: 4, latencyMs: 25 };
const grayUpstream = 'history-2';
const lookUpsPerSecond = 120;
const bookingCount = 20;
const killedHosts = ['entry-3', 'control-1'];

interface LookUps {
  readonly statuses: Map<number | string, number>;
  readonly stop: () => Promise<void>;
}

const agent = new Agent({ connections: 64, pipelining: 1 });
const sleep = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Sends look-ups at a fixed rate through the entry hosts in turn, as a load balancer would. */
function startLookUps(fleet: ExampleFleet): LookUps {
  const statuses = new Map<number | string, number>();
  const pending = new Set<Promise<void>>();
  let count = 0;
  const sendLookUp = async (): Promise<void> => {
    const runningHosts = fleet.hosts.entryHosts.filter(
      ({ host }) => fleet.hosts.getProcess(host).isRunning,
    );
    const entry = runningHosts[count % runningHosts.length];
    count += 1;
    let status: number | string = 'no answer';
    try {
      const answer = await request(`http://${entry?.callers}/history/filter-${count}`, {
        dispatcher: agent,
      });
      await answer.body.dump();
      status = answer.statusCode;
    } catch {
      // A request that fails is counted as `no answer`.
    }
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  };
  const timer = setInterval(() => {
    const sending = sendLookUp().finally(() => pending.delete(sending));
    pending.add(sending);
  }, 1000 / lookUpsPerSecond);
  return {
    statuses,
    stop: async () => {
      clearInterval(timer);
      await Promise.all(pending);
    },
  };
}

/** Waits until the gray upstream is ejected; returns the milliseconds that this took. */
async function waitEjected(fleet: ExampleFleet): Promise<number> {
  const startedAt = Date.now();
  await fleet.hosts.waitUntil(`${grayUpstream} is ejected`, async () => {
    const { output } = await fleet.hosts.runTool(['upstream', 'list', '--json']);
    const upstreams = JSON.parse(output) as { upstream: string; ejectedUntil: number }[];
    return upstreams.some(
      ({ upstream, ejectedUntil }) => upstream === grayUpstream && ejectedUntil > 0,
    );
  });
  return Date.now() - startedAt;
}

/** Makes the gray upstream answer slowly while it still reports that it is healthy. */
async function setGrayFault(fleet: ExampleFleet): Promise<void> {
  const grayTarget = fleet.upstreams.find(({ name }) => name === grayUpstream);
  const body = JSON.stringify({ slowFactor: 10, healthLies: true });
  const answer = await request(`http://${grayTarget?.control}/behaviour`, { method: 'POST', body });
  await answer.body.dump();
}

/** Sends each booking twice with one key, through two entry hosts; counts requests and runs. */
async function sendBookings(fleet: ExampleFleet): Promise<{ sent: number; runs: number }> {
  const { entryHosts } = fleet.hosts;
  const sendBooking = async (key: string, hostNumber: number): Promise<void> => {
    const entry = entryHosts[hostNumber % entryHosts.length];
    const answer = await request(`http://${entry?.callers}/bookings`, {
      method: 'POST',
      headers: { 'idempotency-key': key },
      body: `{"filter":"${key}"}`,
      dispatcher: agent,
    });
    await answer.body.dump();
  };
  const keys = Array.from({ length: bookingCount }, () => v7());
  await Promise.all(
    keys.flatMap((key, index) => [sendBooking(key, index), sendBooking(key, index + 1)]),
  );
  const counts = await Promise.all(
    fleet.upstreams.map(async ({ control }) => {
      const answer = await request(`http://${control}/runs`);
      const runs = (await answer.body.json()) as Record<string, number>;
      return keys.reduce((total, key) => total + (runs[key] ?? 0), 0);
    }),
  );
  return { sent: 2 * bookingCount, runs: counts.reduce((total, count) => total + count, 0) };
}

/** Replaces the active preset; returns the milliseconds until every host has applied it. */
async function changePreset(fleet: ExampleFleet): Promise<number> {
  const { hosts } = fleet;
  const listed = await hosts.runTool(['preset', 'list', '--json']);
  const { presets } = JSON.parse(listed.output) as {
    presets: { name: string; revision: number }[];
  };
  const basedOn = presets.find(({ name }) => name === 'ordinary')?.revision ?? 0;
  await applyPreset(hosts, { name: 'ordinary', text: createExamplePreset(sizes, 4000), basedOn });
  const acceptedAt = Date.now();
  await hosts.waitUntil('every host has the new revision', async () => {
    const { output } = await hosts.runTool(['preset', 'status', '--json']);
    const status = JSON.parse(output) as { hosts?: { isLagging: boolean }[] };
    return status.hosts !== undefined && status.hosts.every(({ isLagging }) => !isLagging);
  });
  return Date.now() - acceptedAt;
}

async function runExample(): Promise<boolean> {
  print('starting 3 control hosts, 3 entry hosts and 8 upstreams on loopback');
  const fleet = await startExampleFleet(sizes);
  try {
    const lookUps = startLookUps(fleet);
    await sleep(3000);
    await setGrayFault(fleet);
    const ejectedMs = await waitEjected(fleet);
    const changedMs = await changePreset(fleet);
    const { sent, runs } = await sendBookings(fleet);
    const upstreams = await fleet.hosts.runTool(['upstream', 'list']);
    await Promise.all(killedHosts.map((host) => fleet.hosts.getProcess(host).kill()));
    await sleep(3000);
    await lookUps.stop();
    const tables = [
      upstreams,
      await fleet.hosts.runTool(['preset', 'status']),
      await fleet.hosts.runTool(['report', 'burn']),
    ];
    tables.forEach(({ output }) => print(`\n${output.trimEnd()}`));
    const statuses = [...lookUps.statuses].map(([status, count]) => `${status}: ${count}`);
    print(`\nlook-ups by status           ${statuses.join(', ')}`);
    print(
      `gray upstream ${grayUpstream}      ejected after ${ejectedMs} ms, with the tool's run time`,
    );
    print(
      `preset change                on every host after ${changedMs} ms, with the tool's run time`,
    );
    print(`bookings                     ${sent} sent with ${bookingCount} keys, ${runs} ran`);
    print(`killed while running         ${killedHosts.join(', ')}`);
    return runs === bookingCount;
  } finally {
    const codes = await fleet.stopAll();
    const stopped = Object.entries(codes).filter(([, code]) => code === 0).length;
    print(
      `stopped cleanly              ${stopped} of ${Object.keys(codes).length - killedHosts.length} processes`,
    );
    await agent.destroy();
  }
}

process.exitCode = (await runExample()) ? 0 : 1;
