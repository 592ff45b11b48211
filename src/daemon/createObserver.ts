import DomainLoad from '../application/fleet/DomainLoad.ts';
import SlotView from '../application/fleet/SlotView.ts';
import type { SlotViewOptions } from '../application/fleet/SlotView.ts';
import SuspicionObserver from '../application/fleet/SuspicionObserver.ts';
import type { SuspicionObserverOptions } from '../application/fleet/SuspicionObserver.ts';
import { loadHalfLifeMs } from './fleetTimes.ts';

/** Parts of an entry host from which suspicions are derived. */
export type ObserverParts = Pick<SuspicionObserverOptions, 'clock' | 'suspicions' | 'exchange'> &
  Pick<SlotViewOptions, 'view' | 'statements'>;

/** Creates the observer of attempts of an entry host, with its view of free slots. */
export default function createObserver(parts: ObserverParts): SuspicionObserver {
  const { clock, suspicions, exchange, view, statements } = parts;
  const loads = new DomainLoad({ exchange });
  const slots = new SlotView({ clock, view, statements, loads, loadHalfLifeMs });
  return new SuspicionObserver({
    ...{ clock, suspicions, exchange },
    findIncarnation: (upstream) => view.findUpstream(upstream)?.incarnation ?? 0,
    hasFreeSlot: (upstream) => slots.hasFreeSlot(upstream),
  });
}
