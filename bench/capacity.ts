import measureControl from './capacity/measureControl.ts';
import measureDetection from './capacity/measureDetection.ts';
import measureDaemons from './capacity/measureDaemons.ts';
import { measureGossip, measurePreset } from './capacity/measureEntry.ts';

const parts: Readonly<Record<string, () => Promise<void>>> = {
  gossip: measureGossip,
  preset: measurePreset,
  detection: measureDetection,
  control: measureControl,
  daemons: measureDaemons,
};

const [, , part] = process.argv;
const chosen = part ? [part] : Object.keys(parts);
for (const name of chosen) {
  const measure = parts[name];
  if (!measure) throw new Error(`part "${name}": expected one of ${Object.keys(parts).join(', ')}`);
  await measure();
}
