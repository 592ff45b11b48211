import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import Clients from '../lib/Clients.mjs';
import Fleet from '../lib/Fleet.mjs';
import Operator from '../lib/Operator.mjs';
import Target from '../lib/Target.mjs';
import runCase from '../lib/runCase.mjs';
import { createConfig } from '../lib/settings.mjs';

const drainMs = 2000;
const contactMs = 3000;
// Time that the target serves after its acknowledgement: `drain` and a little longer.
const servingMs = 12_000;
const downMs = 500;

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (context) => {
  const { record, hasTrouble, onStop } = context;
  const runs = [];
  const recordRun = (entry) => {
    if (entry.event === 'run') runs.push({ ...entry, at: Date.now() });
    record(entry);
  };
  const fleet = new Fleet({ record, zones: ['north', 'south', 'east'], control: 3, entry: 3 });
  onStop(() => fleet.stop());
  await fleet.start();
  const listControl = () => fleet.control.map((machine) => fleet.controlAddress(machine));
  await new Operator({ record, listControl }).putConfig(createConfig(1));
  const targets = fleet.zones.map(
    (zone, index) =>
      new Target({
        ...{ id: `i-${index + 1}`, service: 'history', zone, ip: fleet.createIp(index) },
        ...{ port: 8080, record: recordRun, listControl },
      }),
  );
  await Promise.all(targets.map((target) => target.start()));
  onStop(async () => targets.forEach((target) => target.close()));
  const clients = new Clients({
    ...{ record, perSecond: 30, routes: [{ method: 'GET', path: '/look/' }] },
    addresses: fleet.entry.map(({ ip }) => `${ip}:8548`),
  });
  await sleep(4000);

  const [leaving] = targets;
  if (hasTrouble) await Promise.all(fleet.control.map((machine) => fleet.kill(machine)));
  const left = leaving.leaveAtOnce(servingMs);
  if (hasTrouble) {
    await sleep(downMs);
    await Promise.all(fleet.control.map((machine) => fleet.startProcess(machine)));
  }
  const acknowledgedAt = await left;
  await clients.stop();
  if (acknowledgedAt === undefined) throw new Error('the target got no acknowledgement');

  // Machines are in touch again `contact` after the last event of the core; twice that is allowed
  // here.
  const inTouchAt = Math.max(...fleet.coreEvents) + 2 * contactMs;
  const lateAfter = Math.max(acknowledgedAt + drainMs, hasTrouble ? inTouchAt : 0);
  record({ event: 'late after', acknowledgedAt, lateAfter });
  return runs
    .filter(({ id, at }) => id === leaving.id && at > lateAfter)
    .map(({ attempt, at }) => ({ rule: 'DRAIN', attempt, afterAckMs: at - acknowledgedAt }));
});
