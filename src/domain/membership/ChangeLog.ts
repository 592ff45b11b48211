interface Change {
  readonly key: string;
  readonly changedAt: number;
}

// A shorter log is not worth compacting.
const minCompactedLength = 1000;

/** Keys in the order of their changes; a look-up costs what changed since, not what is held. */
export default class ChangeLog {
  private changes: Change[] = [];

  private compactedLength = 0;

  /** Instants must not go back. */
  recordChange(key: string, changedAt: number): void {
    this.changes.push({ key, changedAt });
    if (this.changes.length > minCompactedLength + 2 * this.compactedLength) this.dropOlder();
  }

  /** Keys that changed at `since` or later, each once. */
  listChanged(since: number): readonly string[] {
    const before = this.changes.findLastIndex(({ changedAt }) => changedAt < since);
    return [...new Set(this.changes.slice(before + 1).map(({ key }) => key))];
  }

  // Keeps the last change of each key.
  private dropOlder(): void {
    const last = new Map(this.changes.map((change) => [change.key, change]));
    this.changes = this.changes.filter((change) => last.get(change.key) === change);
    this.compactedLength = this.changes.length;
  }
}
