import type ReplicaConfiguration from './ReplicaConfiguration.ts';

/** What an entry does; `term_start` is the first entry of each leader. */
export type EntryContent =
  | { readonly kind: 'command'; readonly command: unknown }
  | { readonly kind: 'configuration'; readonly configuration: ReplicaConfiguration }
  | { readonly kind: 'term_start' };

/** One entry of the replicated log. */
export default interface LogEntry {
  readonly index: number;
  readonly term: number;
  /** The leader's time in milliseconds since the epoch; never decreases over the log. */
  readonly proposedAt: number;
  readonly content: EntryContent;
}
