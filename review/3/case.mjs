import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import Clients from '../lib/Clients.mjs';
import Fleet from '../lib/Fleet.mjs';
import Operator from '../lib/Operator.mjs';
import Target from '../lib/Target.mjs';
import runCase from '../lib/runCase.mjs';
import sendCall from '../lib/sendCall.mjs';
import { createConfig } from '../lib/settings.mjs';

const contactMs = 3000;
const floorShare = 0.7;
const windowMs = 2000;
const stepMs = 500;
const observedMs = 20_000;

/** Heartbeats of another writer, which names two live targets and leaves out the version. */
function createOddHeartbeats(targets) {
  return targets.map(({ service, zone, ip, port, slots }, index) => ({
    id: `w-${index + 1}`,
    body: {
      ...{ service, address: `${ip}:${port}`, zone, slots, state: 'draining' },
      ...{ warmupLeft: '0ms', sequence: 1, born: Date.now() },
    },
  }));
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (context) => {
  const { record, hasTrouble, onStop } = context;
  const arrivals = [];
  const recordRun = (entry) => {
    if (entry.event === 'run') arrivals.push({ id: entry.id, at: Date.now() });
    record(entry);
  };
  const fleet = new Fleet({ record, zones: ['north', 'south'], control: 3, entry: 2 });
  onStop(() => fleet.stop());
  await fleet.start();
  const listControl = () => fleet.control.map((machine) => fleet.controlAddress(machine));
  await new Operator({ record, listControl }).putConfig(createConfig(1));
  const targets = ['north', 'south', 'north', 'south'].map(
    (zone, index) =>
      new Target({
        ...{ id: `i-${index + 1}`, service: 'history', zone, ip: fleet.createIp(index) },
        ...{ port: 8080, record: recordRun, listControl, workMs: 200 },
      }),
  );
  await Promise.all(targets.map((target) => target.start()));
  onStop(async () => targets.forEach((target) => target.close()));
  const clients = new Clients({
    ...{ record, perSecond: 60, routes: [{ method: 'GET', path: '/look/' }] },
    addresses: fleet.entry.map(({ ip }) => `${ip}:8548`),
  });
  await sleep(5000);

  if (hasTrouble) {
    await Promise.all(
      createOddHeartbeats(targets.slice(0, 2)).map(async ({ id, body }) => {
        const url = `http://${listControl()[0]}/pistachiohoist/instances/${id}`;
        const call = { method: 'PUT', url, body: JSON.stringify(body), timeoutMs: 1000 };
        const { status, text } = await sendCall(call);
        record({ event: 'odd heartbeat', id, body, status, text });
      }),
    );
  }
  const from = Date.now() + 2 * contactMs;
  await sleep(2 * contactMs + observedMs);
  const until = Date.now();
  await clients.stop();

  const starts = Array.from(
    { length: Math.floor((until - from - windowMs) / stepMs) },
    (_, index) => from + index * stepMs,
  );
  return starts.flatMap((start) => {
    const isInside = (at) => at >= start && at < start + windowMs;
    const used = new Set(arrivals.filter(({ at }) => isInside(at)).map(({ id }) => id)).size;
    const sent = clients.sent.filter(({ sentAt }) => isInside(sentAt));
    const unserved = sent.filter(({ status }) => status !== 200).length / sent.length;
    const share = used / targets.length;
    const isBroken = share > 0 && share < floorShare && unserved > 0.1 && unserved < 0.5;
    return isBroken ? [{ rule: 'FLOOR', start: start - from, share, unserved }] : [];
  });
});
