/** Requests since a host started. */
export default interface TeamCounts {
  readonly admitted: number;
  /** Requests that the fleet refused and that did not run, by error kind. */
  readonly refused: Readonly<Record<string, number>>;
}

/** Counts of no request. */
export const noCounts: TeamCounts = { admitted: 0, refused: {} };

/** Adds counts, for example those of several hosts. */
export function addCounts(first: TeamCounts, second: TeamCounts): TeamCounts {
  const kinds = Object.keys({ ...first.refused, ...second.refused });
  const addKind = (kind: string) =>
    [kind, (first.refused[kind] ?? 0) + (second.refused[kind] ?? 0)] as const;
  return {
    admitted: first.admitted + second.admitted,
    refused: Object.fromEntries(kinds.map(addKind)),
  };
}
