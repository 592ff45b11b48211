import type { SnapshotParts } from '../replication/StateMachine.ts';
import type { StoredAnswer } from './Claim.ts';
import type ClaimRegistrySnapshot from './ClaimRegistrySnapshot.ts';
import type { ClaimRecord } from './ClaimRegistrySnapshot.ts';
import IdempotencyKey from './IdempotencyKey.ts';
import measureAnswer from './measureAnswer.ts';

// Expired keys are dropped one bucket at a time: about 1,450 buckets are scanned once a minute,
// instead of all records at each command.
const bucketMs = 60_000;

// Restoring a record of a few hundred bytes takes 16 microseconds, and a record has at most about
// 10 KB, so restoring a part takes a few milliseconds.
const keysPerPart = 64;
const attemptsPerKey = 64;

/**
 * The state of one key. A change replaces the entry instead of modifying it, so that snapshots can
 * share entries with the live table.
 */
export interface KeyEntry {
  readonly key: string;
  readonly current: ClaimRecord | undefined;
  readonly released: ReadonlySet<string>;
}

interface TableEntry extends KeyEntry {
  /** Shared by all versions of the entry; attempts are only added to it and never removed. */
  readonly released: Set<string>;
  /** How many attempts at the start of `released` belong to this version of the entry. */
  readonly releasedCount: number;
}

type KeyList = ClaimRegistrySnapshot['keys'];

/** Lists the released attempts of a key that do not fit in its first record of a snapshot. */
function listContinuations({ key, released, releasedCount }: TableEntry): KeyList {
  const attempts = [...released].slice(0, releasedCount);
  const count = Math.ceil(releasedCount / attemptsPerKey) - 1;
  return Array.from({ length: Math.max(0, count) }, (_, position) => {
    const start = (position + 1) * attemptsPerKey;
    const nextAttempts = attempts.slice(start, start + attemptsPerKey);
    return { key, current: undefined, released: nextAttempts };
  });
}

function createSnapshotKey({ key, current, released, releasedCount }: TableEntry): KeyList[number] {
  const attempts = releasedCount === 0 ? [] : [...released];
  return { key, current, released: attempts.slice(0, Math.min(releasedCount, attemptsPerKey)) };
}

/**
 * Stores the claim records by key and groups the keys by the minute of their timestamp for expiry.
 */
export default class ClaimTable {
  private readonly entries = new Map<string, TableEntry>();

  private readonly buckets = new Map<number, Set<string>>();

  private firstBucket = 0;

  private records = 0;

  private answerCharacters = 0;

  /** Number of claimed keys and released attempts. */
  get recordCount(): number {
    return this.records;
  }

  findEntry(key: IdempotencyKey): KeyEntry | undefined {
    return this.entries.get(key.text);
  }

  /** Whether all kept answers stay within the limit, in characters, when this one is added. */
  mayKeep(answer: StoredAnswer, limit: number): boolean {
    return this.answerCharacters + measureAnswer(answer) <= limit;
  }

  /** Replaces the claim record of a key; undefined when no attempt holds the key any more. */
  setCurrent(key: IdempotencyKey, record: ClaimRecord | undefined): void {
    const entry = this.getEntry(key);
    this.countRecord(entry.current, -1);
    this.entries.set(key.text, { ...entry, current: record });
    this.countRecord(record, 1);
  }

  /** Records that an attempt was released. */
  addReleased(key: IdempotencyKey, attempt: string): void {
    const entry = this.getEntry(key);
    const { released } = entry;
    if (released.has(attempt)) return;
    released.add(attempt);
    this.entries.set(key.text, { ...entry, releasedCount: released.size });
    this.records += 1;
  }

  /**
   * Drops the keys with a timestamp at or before the horizon; those of the minute that contains the
   * horizon stay until the minute has passed.
   */
  dropThrough(horizon: number): void {
    const horizonBucket = Math.floor(horizon / bucketMs);
    if (horizonBucket <= this.firstBucket) return;
    this.firstBucket = horizonBucket;
    [...this.buckets.keys()]
      .filter((bucket) => bucket < horizonBucket)
      .forEach((expired) => this.dropBucket(expired));
  }

  /** Takes a snapshot of all keys, which shares the entries instead of copying them. */
  takeSnapshot(): SnapshotParts<KeyList> {
    const entries = [...this.entries.values()];
    const continuations = entries
      .filter(({ releasedCount }) => releasedCount > attemptsPerKey)
      .flatMap(listContinuations);
    const entryParts = Math.ceil(entries.length / keysPerPart);
    return {
      count: entryParts + continuations.length,
      readPart: (position) =>
        position < entryParts
          ? entries
              .slice(position * keysPerPart, (position + 1) * keysPerPart)
              .map(createSnapshotKey)
          : continuations.slice(position - entryParts, position - entryParts + 1),
    };
  }

  /**
   * Adds keys from a snapshot; a key that is already present gets further released attempts. Throws
   * when a key is not a UUID version 7.
   */
  addKeys(keys: KeyList): void {
    keys.forEach(({ key, current, released }) => {
      const parsed = IdempotencyKey.parse(key);
      if (!parsed.ok) throw new TypeError(parsed.failure.message);
      if (current) this.setCurrent(parsed.value, current);
      released.forEach((attempt) => this.addReleased(parsed.value, attempt));
    });
  }

  private getEntry(key: IdempotencyKey): TableEntry {
    const known = this.entries.get(key.text);
    if (known) return known;
    const entry = {
      key: key.text,
      current: undefined,
      released: new Set<string>(),
      releasedCount: 0,
    };
    this.entries.set(key.text, entry);
    const bucket = Math.floor(key.timestamp / bucketMs);
    const keys = this.buckets.get(bucket) ?? new Set();
    this.buckets.set(bucket, keys.add(key.text));
    return entry;
  }

  private dropBucket(bucket: number): void {
    this.buckets.get(bucket)?.forEach((key) => {
      const entry = this.entries.get(key);
      this.countRecord(entry?.current, -1);
      this.records -= entry?.released.size ?? 0;
      this.entries.delete(key);
    });
    this.buckets.delete(bucket);
  }

  private countRecord(record: ClaimRecord | undefined, factor: 1 | -1): void {
    if (!record) return;
    this.records += factor;
    this.answerCharacters += record.answer ? factor * measureAnswer(record.answer) : 0;
  }
}
