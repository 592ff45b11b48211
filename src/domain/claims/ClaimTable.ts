import type { StoredAnswer } from './Claim.ts';
import type ClaimBookSnapshot from './ClaimBookSnapshot.ts';
import type { ClaimRecord } from './ClaimBookSnapshot.ts';
import IdempotencyKey from './IdempotencyKey.ts';
import measureAnswer from './measureAnswer.ts';

// Expired keys are dropped one bucket at a time: about 1,450 buckets are looked through once a
// minute, instead of all records at each command.
const bucketMs = 60_000;

/** What is kept of one key. */
export interface KeyEntry {
  readonly current: ClaimRecord | undefined;
  readonly released: ReadonlySet<string>;
}

interface MutableEntry extends KeyEntry {
  current: ClaimRecord | undefined;
  readonly released: Set<string>;
}

/** The kept records by key, grouped by the minute of the key for expiry. */
export default class ClaimTable {
  private readonly entries = new Map<string, MutableEntry>();

  private readonly buckets = new Map<number, Set<string>>();

  private firstBucket = 0;

  private records = 0;

  private answerCharacters = 0;

  /** Number of holders and released attempts. */
  get recordCount(): number {
    return this.records;
  }

  findEntry(key: IdempotencyKey): KeyEntry | undefined {
    return this.entries.get(key.text);
  }

  /** Whether the kept answers stay within the limit with one more. */
  mayKeep(answer: StoredAnswer, limit: number): boolean {
    return this.answerCharacters + measureAnswer(answer) <= limit;
  }

  /** Replaces the holder of a key. */
  setCurrent(key: IdempotencyKey, record: ClaimRecord | undefined): void {
    const entry = this.getEntry(key);
    this.countRecord(entry.current, -1);
    entry.current = record;
    this.countRecord(record, 1);
  }

  /** Remembers that an attempt was released. */
  addReleased(key: IdempotencyKey, attempt: string): void {
    const { released } = this.getEntry(key);
    if (!released.has(attempt)) this.records += 1;
    released.add(attempt);
  }

  /** Drops keys whose time is at or before the horizon; a started minute is kept until it ends. */
  dropThrough(horizon: number): void {
    const bucket = Math.floor(horizon / bucketMs);
    if (bucket <= this.firstBucket) return;
    this.firstBucket = bucket;
    [...this.buckets.keys()]
      .filter((candidate) => candidate < bucket)
      .forEach((expired) => this.dropBucket(expired));
  }

  listKeys(): ClaimBookSnapshot['keys'] {
    return [...this.entries].map(([key, { current, released }]) => ({
      key,
      current,
      released: [...released],
    }));
  }

  /** Replaces all entries. */
  restoreKeys(keys: ClaimBookSnapshot['keys']): void {
    this.entries.clear();
    this.buckets.clear();
    this.firstBucket = 0;
    this.records = 0;
    this.answerCharacters = 0;
    keys.forEach(({ key, current, released }) => {
      const parsed = IdempotencyKey.parse(key);
      if (!parsed.ok) throw new TypeError(parsed.failure.message);
      this.setCurrent(parsed.value, current);
      released.forEach((attempt) => this.addReleased(parsed.value, attempt));
    });
  }

  private getEntry(key: IdempotencyKey): MutableEntry {
    const known = this.entries.get(key.text);
    if (known) return known;
    const entry: MutableEntry = { current: undefined, released: new Set() };
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

  private countRecord(record: ClaimRecord | undefined, sign: 1 | -1): void {
    if (!record) return;
    this.records += sign;
    this.answerCharacters += record.answer ? sign * measureAnswer(record.answer) : 0;
  }
}
