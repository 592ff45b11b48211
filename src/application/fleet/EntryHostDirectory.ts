import { createHash } from 'node:crypto';

import pruneMap from '../../domain/collections/pruneMap.ts';
import type { ControlHostInfo, EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type { FeedHosts } from '../../ports/FleetLink.ts';

// Entry hosts send a request every few seconds. An entry host that sends none for this long is
// removed from the list.
const entryHostTimeoutMs = 8000;
// A list that has changed is published after this time, because each new list goes to all entry
// hosts of its failure domain, and many hosts start at the same time.
const publishIntervalMs = 250;

/** Options of the directory. */
export interface EntryHostDirectoryOptions {
  readonly clock: Clock;
  readonly listControlHosts: () => readonly ControlHostInfo[];
}

interface PresentHost {
  readonly info: EntryHostInfo;
  readonly until: number;
}

interface PublishedHosts {
  readonly hosts: FeedHosts;
  /** Instant from which a newer list may be published. */
  readonly renewAt: number;
}

function createVersion(controlHosts: readonly ControlHostInfo[], hosts: readonly EntryHostInfo[]) {
  const control = controlHosts.map(({ address }) => address).sort();
  const entry = hosts.map(({ address }) => address).sort();
  const addresses = [...control, '/', ...entry].join(' ');
  return createHash('sha256').update(addresses).digest('base64url').slice(0, 12);
}

/** The entry hosts that sent a request recently, and the lists of hosts that they are told. */
export default class EntryHostDirectory {
  private readonly options: EntryHostDirectoryOptions;

  private readonly present = new Map<string, PresentHost>();

  /** Last published list, by failure domain. */
  private readonly published = new Map<string, PublishedHosts>();

  constructor(options: EntryHostDirectoryOptions) {
    this.options = options;
  }

  /** Records that an entry host sent a request. */
  recordPresence(info: EntryHostInfo): void {
    const until = this.options.clock.now() + entryHostTimeoutMs;
    this.present.set(info.address, { info, until });
  }

  /** Entry hosts that sent a request recently. */
  listHosts(): readonly EntryHostInfo[] {
    const now = this.options.clock.now();
    return [...this.present.values()].flatMap(({ info, until }) => (until > now ? [info] : []));
  }

  /** The list of hosts for the entry hosts of a failure domain; all of them get the same one. */
  getHosts(failureDomain: string): FeedHosts {
    return this.published.get(failureDomain)?.hosts ?? this.updateHosts(failureDomain);
  }

  /** Publishes the lists that have changed; returns whether there are any. */
  updateChanged(): boolean {
    const now = this.options.clock.now();
    pruneMap(this.present, ({ until }) => until <= now);
    const changed = [...this.published]
      .filter(([, { renewAt }]) => renewAt <= now)
      .filter(([domain, { hosts }]) => this.updateHosts(domain).version !== hosts.version);
    return changed.length > 0;
  }

  private updateHosts(failureDomain: string): FeedHosts {
    const controlHosts = this.options.listControlHosts();
    const entryHosts = this.listHosts().filter((info) => info.failureDomain === failureDomain);
    const hosts = { version: createVersion(controlHosts, entryHosts), controlHosts, entryHosts };
    const renewAt = this.options.clock.now() + publishIntervalMs;
    this.published.set(failureDomain, { hosts, renewAt });
    return hosts;
  }
}
