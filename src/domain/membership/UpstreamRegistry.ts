import type RegisteredUpstream from './RegisteredUpstream.ts';
import type { Registration } from './RegisteredUpstream.ts';

// Some hours of ordinary releases; hosts that lag by more take the whole list.
const maxTombstones = 1000;

/** Changes after an index, or all records when the changes are no longer known. */
export interface RegistryChanges {
  /** Whether the records are all there are. */
  readonly isWhole: boolean;
  readonly records: readonly RegisteredUpstream[];
}

/** The end of a run of an upstream. */
export interface Removal {
  readonly upstream: string;
  readonly bornAt: number;
  readonly state: 'gone' | 'silent';
}

/** What became of an offered registration. */
export type RegistrationResult = 'changed' | 'unchanged' | 'stale';

/** The registered upstreams; every control host applies the same changes in the same order. */
export default class UpstreamRegistry {
  private readonly records = new Map<string, RegisteredUpstream>();

  /** Changes up to this index may have been forgotten. */
  private forgottenThrough = 0;

  /** Upstreams that are serving, leaving or silent, in the order of their first registration. */
  listUpstreams(): readonly RegisteredUpstream[] {
    return [...this.records.values()].filter(({ state }) => state !== 'gone');
  }

  findUpstream(upstream: string): RegisteredUpstream | undefined {
    return this.records.get(upstream);
  }

  /** Decides what a registration would do. */
  checkRegistration(registration: Registration, keeper: string): RegistrationResult {
    const { bornAt, sequence, address, state } = registration;
    const current = this.records.get(registration.upstream);
    if (this.isReplaced(registration)) return 'stale';
    if (!current) return 'changed';
    if (bornAt !== current.bornAt) return bornAt > current.bornAt ? 'changed' : 'stale';
    // A run that left does not come back; a late announcement of it says nothing new.
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

  /** Applies a registration that changes something; others are ignored. */
  applyRegistration(registration: Registration, keeper: string, index: number): void {
    if (this.checkRegistration(registration, keeper) !== 'changed') return;
    // Another run at the same address has ended, even when it said nothing.
    this.listUpstreams()
      .filter((other) => other.address === registration.address)
      .filter((other) => other.upstream !== registration.upstream)
      .forEach((other) => this.storeRecord({ ...other, state: 'gone', changedAt: index }));
    this.storeRecord({ ...registration, keeper, changedAt: index });
  }

  /** Marks the run of an upstream as gone or silent; a later run is not touched. */
  applyRemoval({ upstream, bornAt, state }: Removal, index: number): void {
    const current = this.records.get(upstream);
    if (!current || current.state === 'gone' || current.bornAt > bornAt || current.state === state)
      return;
    this.storeRecord({ ...current, state, changedAt: index });
  }

  /** What changed after an index; all records for an index that is too old. */
  listChanges(afterIndex: number): RegistryChanges {
    const isWhole = afterIndex === 0 || afterIndex < this.forgottenThrough;
    if (isWhole) return { isWhole, records: this.listUpstreams() };
    const records = [...this.records.values()].filter(({ changedAt }) => changedAt > afterIndex);
    return { isWhole, records };
  }

  /** Everything, for a snapshot. */
  listRecords(): readonly RegisteredUpstream[] {
    return [...this.records.values()];
  }

  /** Takes over the records of a snapshot. */
  restoreRecords(records: readonly RegisteredUpstream[], forgottenThrough: number): void {
    this.records.clear();
    records.forEach((record) => this.records.set(record.upstream, record));
    this.forgottenThrough = forgottenThrough;
  }

  get oldestKnownChange(): number {
    return this.forgottenThrough;
  }

  // An announcement that was delayed may name an address that a younger upstream has taken over.
  private isReplaced({ upstream, address, bornAt }: Registration): boolean {
    return this.listUpstreams().some(
      (other) => other.address === address && other.upstream !== upstream && other.bornAt > bornAt,
    );
  }

  private storeRecord(record: RegisteredUpstream): void {
    this.records.set(record.upstream, record);
    const tombstones = [...this.records.values()].filter(({ state }) => state === 'gone');
    if (tombstones.length <= maxTombstones) return;
    const [oldest] = tombstones.sort((left, right) => left.changedAt - right.changedAt);
    if (!oldest) return;
    this.records.delete(oldest.upstream);
    this.forgottenThrough = Math.max(this.forgottenThrough, oldest.changedAt);
  }
}
