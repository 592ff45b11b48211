interface Change {
  readonly key: string;
  readonly changedAt: number;
}

// A shorter log is not worth compacting.
const minCompactedLength = 1000;

/**
 * Keys in the order of their changes. The cost of a look-up grows with the number of changes since
 * the given instant, not with the number of keys.
 */
export default class ChangeLog {
  private changes: Change[] = [];

  private compactedLength = 0;

  /** Records a change; `changedAt` must not be lower than in an earlier call. */
  recordChange(key: string, changedAt: number): void {
    this.changes.push({ key, changedAt });
    if (this.changes.length > minCompactedLength + 2 * this.compactedLength) this.dropSuperseded();
  }

  /** Keys that changed at `since` or later, each once. */
  listChanged(since: number): readonly string[] {
    const lastOlderIndex = this.changes.findLastIndex(({ changedAt }) => changedAt < since);
    return [...new Set(this.changes.slice(lastOlderIndex + 1).map(({ key }) => key))];
  }

  // Keeps the last change of each key.
  private dropSuperseded(): void {
    const lastChanges = new Map(this.changes.map((change) => [change.key, change]));
    this.changes = this.changes.filter((change) => lastChanges.get(change.key) === change);
    this.compactedLength = this.changes.length;
  }
}
