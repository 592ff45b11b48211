import type RegisteredUpstream from './RegisteredUpstream.ts';
import type { Registration } from './RegisteredUpstream.ts';

// Records of runs that have left or fell silent. Enough for several hours of ordinary releases; a
// host that is further behind receives the whole list.
const maxEnded = 1000;

/** Changes after an index, or all records when the changes are no longer known. */
export interface RegistryChanges {
  /** Whether `records` is the complete list rather than the changes only. */
  readonly isWhole: boolean;
  readonly records: readonly RegisteredUpstream[];
}

/** The end of a run of an upstream, which left (`gone`) or stopped announcing itself (`silent`). */
export interface Removal {
  readonly upstream: string;
  /** Undefined for the run that is registered when the removal is applied. */
  readonly bornAt: number | undefined;
  readonly state: 'gone' | 'silent';
  /**
   * For `silent`, the control host that tracked the announcements and heard no more. Commands of
   * earlier releases lack it.
   */
  readonly keeper?: string | undefined;
}

/**
 * What a registration or a removal does to the registry; `stale` when the registry has newer
 * information.
 */
export type RegistryEffect = 'changed' | 'unchanged' | 'stale';

// What the tombstone of a run that was never registered says of the run.
const unregistered = {
  ...{ service: '', address: '', failureDomain: '', slots: 0 },
  ...{ sequence: 0, warmMs: 0, keeper: '' },
};

/** The registered upstreams; every control host applies the same changes in the same order. */
export default class UpstreamRegistry {
  private readonly records = new Map<string, RegisteredUpstream>();

  /** Index of the last command that changed what entry hosts use. */
  changedThrough = 0;

  /** Index of the last command after which an upstream is no longer serving. */
  endedThrough = 0;

  /** Highest index of an ended run that was dropped; changes up to it are no longer complete. */
  private prunedThrough = 0;

  /** Upstreams that are serving, leaving or silent, in the order of their first registration. */
  listUpstreams(): readonly RegisteredUpstream[] {
    return [...this.records.values()].filter(({ state }) => state !== 'gone');
  }

  /**
   * Upstreams that are serving or leaving and announced an address that another one of them
   * announced too. At most one of them is there: the others have stopped, or another writer named
   * the address.
   */
  listContested(): readonly RegisteredUpstream[] {
    const inUse = this.listUpstreams().filter(({ state }) => state !== 'silent');
    const counts = new Map<string, number>();
    inUse.forEach(({ address }) => counts.set(address, (counts.get(address) ?? 0) + 1));
    return inUse.filter(({ address }) => (counts.get(address) ?? 0) > 1);
  }

  findUpstream(upstream: string): RegisteredUpstream | undefined {
    return this.records.get(upstream);
  }

  /** Determines what a registration would do to the registry. */
  checkRegistration(registration: Registration, keeper: string): RegistryEffect {
    const { bornAt, sequence, address, state } = registration;
    const current = this.records.get(registration.upstream);
    if (!current) return 'changed';
    if (bornAt !== current.bornAt) return bornAt > current.bornAt ? 'changed' : 'stale';
    // A run that has left does not come back, so a late announcement of it is ignored.
    const isOver = current.state === 'gone' || (current.state === 'leaving' && state === 'serving');
    if (isOver || sequence < current.sequence) return 'stale';
    const isSame =
      current.state === state &&
      current.address === address &&
      current.service === registration.service &&
      current.slots === registration.slots &&
      current.keeper === keeper;
    return isSame ? 'unchanged' : 'changed';
  }

  /** Applies a registration that changes the registry; others are ignored. */
  applyRegistration(registration: Registration, keeper: string, index: number): RegistryEffect {
    const effect = this.checkRegistration(registration, keeper);
    if (effect !== 'changed') return effect;
    const current = this.records.get(registration.upstream);
    // Entry hosts need not know which control host tracks the announcements.
    const isTakeover = this.isTakeover(registration, keeper);
    const changedAt = current && isTakeover ? current.changedAt : index;
    this.storeRecord({ ...registration, keeper, changedAt });
    return effect;
  }

  /** Whether a registration changes nothing but the control host that tracks the upstream. */
  isTakeover(registration: Registration, keeper: string): boolean {
    const current = this.records.get(registration.upstream);
    return (
      current !== undefined &&
      current.keeper !== keeper &&
      this.checkRegistration(registration, current.keeper) === 'unchanged'
    );
  }

  /** Marks the run of an upstream as `gone` or `silent`; a later run is not changed. */
  applyRemoval({ upstream, bornAt, state, keeper }: Removal, index: number): RegistryEffect {
    const current = this.records.get(upstream);
    // Another host hears the upstream now.
    if (keeper !== undefined && keeper !== current?.keeper) return 'stale';
    const endedBornAt = bornAt ?? current?.bornAt;
    if (endedBornAt === undefined) return 'unchanged';
    if (current && current.bornAt > endedBornAt) return 'stale';
    const isSameRun = current?.bornAt === endedBornAt;
    if (isSameRun && (current.state === 'gone' || current.state === state)) return 'unchanged';
    if (state === 'silent' && !isSameRun) return 'stale';
    // A run that left before it was registered gets a tombstone too, because its announcements may
    // still arrive.
    const record = current ?? { ...unregistered, upstream };
    this.storeRecord({ ...record, bornAt: endedBornAt, state, changedAt: index });
    return 'changed';
  }

  /** The records that changed after an index; all upstreams for an index that is too old. */
  listChanges(afterIndex: number): RegistryChanges {
    const isWhole = afterIndex === 0 || afterIndex < this.prunedThrough;
    if (isWhole) return { isWhole, records: this.listUpstreams() };
    const records = [...this.records.values()].filter(({ changedAt }) => changedAt > afterIndex);
    return { isWhole, records };
  }

  /** All records, including tombstones, for a snapshot. */
  listRecords(): readonly RegisteredUpstream[] {
    return [...this.records.values()];
  }

  /** Replaces the records with those of a snapshot. */
  restoreRecords(records: readonly RegisteredUpstream[], prunedThrough: number): void {
    this.records.clear();
    records.forEach((record) => this.records.set(record.upstream, record));
    this.prunedThrough = prunedThrough;
    this.changedThrough = Math.max(prunedThrough, ...records.map(({ changedAt }) => changedAt));
  }

  /** Lowest index for which `listChanges` can return the changes instead of all upstreams. */
  get oldestKnownChange(): number {
    return this.prunedThrough;
  }

  private storeRecord(record: RegisteredUpstream): void {
    this.records.set(record.upstream, record);
    this.changedThrough = Math.max(this.changedThrough, record.changedAt);
    if (record.state !== 'serving') this.endedThrough = this.changedThrough;
    const ended = [...this.records.values()].filter(
      ({ state }) => state === 'gone' || state === 'silent',
    );
    if (ended.length <= maxEnded) return;
    const [oldest] = ended.sort((left, right) => left.changedAt - right.changedAt);
    if (!oldest) return;
    this.records.delete(oldest.upstream);
    this.prunedThrough = Math.max(this.prunedThrough, oldest.changedAt);
  }
}
