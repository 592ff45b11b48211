import ListenerConnections from '../adapters/http/ListenerConnections.ts';
import readDescriptorLimit from '../adapters/system/readDescriptorLimit.ts';
import type { DescriptorLimitOptions } from '../adapters/system/readDescriptorLimit.ts';
import type Clock from '../ports/Clock.ts';
import type Log from '../ports/Log.ts';

/** The connections of each listener of a host. */
export type HostListeners<Name extends string> = Readonly<Record<Name, ListenerConnections>>;

/** Options of the listeners of a host. */
export interface HostListenersOptions<Name extends string, Parts extends Record<Name, number>> {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Pick<DescriptorLimitOptions, 'maxDescriptors'>;
  /** Names of the listeners in the settings. */
  readonly names: readonly Name[];
  /** Splits the descriptors of the process into the largest numbers of connections. */
  readonly splitDescriptors: (maxDescriptors: number) => Parts;
  /** Largest numbers of unproven connections; as many as connections unless set. */
  readonly getUnproven?: (parts: Parts) => Readonly<Partial<Record<Name, number>>>;
}

/** Creates the connections of the listeners of a host, which share its descriptors. */
export default async function createListeners<
  Name extends string,
  Parts extends Record<Name, number>,
>(options: HostListenersOptions<Name, Parts>): Promise<HostListeners<Name>> {
  const { clock, log, names, splitDescriptors, getUnproven } = options;
  const maxDescriptors = await readDescriptorLimit(options.settings);
  const parts = splitDescriptors(maxDescriptors);
  log.info('lifecycle: limited the connections of the listeners', { maxDescriptors, ...parts });
  const unproven = getUnproven?.(parts);
  const listeners = names.map((listener) => [
    listener,
    new ListenerConnections({
      ...{ clock, log, listener },
      maxConnections: parts[listener],
      maxUnproven: unproven?.[listener] ?? parts[listener],
    }),
  ]);
  return Object.fromEntries(listeners) as HostListeners<Name>;
}
