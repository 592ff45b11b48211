import ChangeLog from './ChangeLog.ts';
import type GossipTopic from './GossipTopic.ts';
import type { GossipDigest, GossipTopicName } from './GossipTopic.ts';
import compareVersions, { isNewerThanDigest } from './compareVersions.ts';

/**
 * Maximum time until a lease expires, in milliseconds; limits the effect of an incorrect clock or a
 * faulty peer.
 */
export const maxLeaseMs = 60_000;

// Ten times the maximum lease: by then every copy of a dropped record has expired on every host.
const tombstoneMs = 10 * maxLeaseMs;

/** A record that is valid until its lease deadline. */
export interface LeasedRecord {
  readonly leaseDeadline: number;
}

/** Rules that depend on the kind of record. */
export interface RecordRules<Item extends LeasedRecord> {
  readonly name: GossipTopicName;
  getKey(record: Item): string;
  /** Name under which `listGroup` finds the record; the same for all versions of a key. */
  getGroup(record: Item): string;
  getVersion(record: Item): readonly number[];
  /** The newer record, with the fields that it takes over from the current one. */
  mergeRecord(current: Item | undefined, next: Item): Item;
  /** Whether the change must reach other hosts before the next regular exchange. */
  isUrgent(current: Item, next: Item, now: number): boolean;
  /** The record when it is well-formed; undefined otherwise. */
  checkRecord(value: unknown): Item | undefined;
}

/**
 * What `putRecord` did with a record; an `urgent` one must reach other hosts before the next
 * regular exchange.
 */
export type PutOutcome = 'ignored' | 'renewed' | 'urgent';

interface Tombstone<Item> {
  readonly record: Item;
  readonly keptUntil: number;
}

/** Versioned records with leases; the newest version of each key wins on every host. */
export default class Directory<Item extends LeasedRecord> implements GossipTopic {
  readonly name: GossipTopicName;

  private readonly rules: RecordRules<Item>;

  private readonly records = new Map<string, Item>();

  private readonly groups = new Map<string, Map<string, Item>>();

  private readonly tombstones = new Map<string, Tombstone<Item>>();

  // The digest of this host. It is updated with each change rather than built for each exchange,
  // and it includes tombstones, so that no peer keeps offering a dropped version. It inherits no
  // properties, because the keys come from other hosts.
  private readonly versions = Object.create(null) as Record<string, readonly number[]>;

  private readonly changes = new ChangeLog();

  private expiryLimit = Infinity;

  private malformed = 0;

  constructor(rules: RecordRules<Item>) {
    this.rules = rules;
    this.name = rules.name;
  }

  /** Number of malformed records that peers sent. */
  get malformedCount(): number {
    return this.malformed;
  }

  /**
   * Leases whose deadline is after the limit do not expire. A limit that only moves forward never
   * makes an expired record valid again, whereas switching the expiry off and on would.
   */
  setExpiryLimit(limit: number): void {
    this.expiryLimit = limit;
  }

  getRecord(key: string): Item | undefined {
    return this.records.get(key);
  }

  /** Last known version of a key, also when its record was dropped since. */
  getLastVersion(key: string): readonly number[] | undefined {
    return this.versions[key];
  }

  /** Records with a valid lease, in no particular order. */
  listRecords(now: number): readonly Item[] {
    return this.listValid(this.records, now);
  }

  /** Records with a valid lease in one group; the cost depends only on the size of that group. */
  listGroup(group: string, now: number): readonly Item[] {
    return this.listValid(this.groups.get(group) ?? new Map<string, Item>(), now);
  }

  /** Records dropped in the last 10 minutes. */
  listDropped(): readonly Item[] {
    return [...this.tombstones.values()].map(({ record }) => record);
  }

  /** Stores the record when it is newer than the last known version of its key. */
  putRecord(given: Item, now: number): PutOutcome {
    const key = this.rules.getKey(given);
    const current = this.records.get(key);
    const leaseDeadline = Math.min(given.leaseDeadline, now + maxLeaseMs);
    const record = this.rules.mergeRecord(current, { ...given, leaseDeadline });
    const version = this.rules.getVersion(record);
    const known = this.getLastVersion(key);
    if (known && compareVersions(version, known) <= 0) return 'ignored';
    if (record.leaseDeadline <= this.getExpiryTime(now)) {
      // The newest record of the key has expired, so an older one must not be valid either.
      this.removeRecord(key, record, now);
      return 'ignored';
    }
    this.tombstones.delete(key);
    this.records.set(key, record);
    this.setInGroup(key, record);
    this.setVersion(key, version, now);
    return !current || this.rules.isUrgent(current, record, now) ? 'urgent' : 'renewed';
  }

  /** Drops the records whose lease has expired and returns them. */
  dropExpired(now: number): readonly Item[] {
    [...this.tombstones].forEach(([key, { keptUntil }]) => {
      if (keptUntil > now) return;
      this.tombstones.delete(key);
      delete this.versions[key];
    });
    const expiryTime = this.getExpiryTime(now);
    const expired = [...this.records].filter(
      ([, { leaseDeadline }]) => leaseDeadline <= expiryTime,
    );
    expired.forEach(([key, record]) => this.removeRecord(key, record, now));
    return expired.map(([, record]) => record);
  }

  /** Without `since`, returns the same object in every call, which is updated with the records. */
  listVersions(_now?: number, since = -Infinity): GossipDigest {
    if (since === -Infinity) return this.versions;
    const changed = this.changes.listChanged(since);
    // The log may name keys whose tombstones were dropped since.
    return Object.fromEntries(
      changed.flatMap((key) => {
        const version = this.getLastVersion(key);
        return version ? [[key, version]] : [];
      }),
    );
  }

  listNewer(digest: GossipDigest, _now?: number, since = -Infinity): readonly Item[] {
    const keys =
      since === -Infinity
        ? [...this.records.keys()]
        : [...new Set([...this.changes.listChanged(since), ...Object.keys(digest)])];
    return keys
      .filter((key) => isNewerThanDigest(digest, key, this.getLastVersion(key) ?? []))
      .map((key) => this.records.get(key))
      .filter((record) => record !== undefined);
  }

  mergeRecords(records: readonly unknown[], now: number): boolean {
    const checked = records.map((record) => this.rules.checkRecord(record));
    const wellFormed = checked.filter((record) => record !== undefined);
    this.malformed += checked.length - wellFormed.length;
    return wellFormed.map((record) => this.putRecord(record, now)).includes('urgent');
  }

  private listValid(records: ReadonlyMap<string, Item>, now: number): readonly Item[] {
    const expiryTime = this.getExpiryTime(now);
    return [...records.values()].filter(({ leaseDeadline }) => leaseDeadline > expiryTime);
  }

  private setInGroup(key: string, record: Item): void {
    const name = this.rules.getGroup(record);
    const group = this.groups.get(name) ?? new Map<string, Item>();
    group.set(key, record);
    this.groups.set(name, group);
  }

  private removeFromGroup(key: string, record: Item): void {
    const name = this.rules.getGroup(record);
    const group = this.groups.get(name);
    group?.delete(key);
    if (group?.size === 0) this.groups.delete(name);
  }

  private getExpiryTime(now: number): number {
    return Math.min(now, this.expiryLimit);
  }

  private removeRecord(key: string, record: Item, now: number): void {
    this.records.delete(key);
    this.removeFromGroup(key, record);
    this.setVersion(key, this.rules.getVersion(record), now);
    this.tombstones.set(key, { record, keptUntil: now + tombstoneMs });
  }

  private setVersion(key: string, version: readonly number[], now: number): void {
    const known = this.getLastVersion(key);
    if (known && compareVersions(version, known) === 0) return;
    this.versions[key] = version;
    this.changes.recordChange(key, now);
  }
}
