/**
 * Version of each record a host holds, by record key. Versions of one key are ordered as numbers
 * pairwise.
 */
export type GossipDigest = Readonly<Record<string, readonly number[]>>;

/** Names of the kinds of records that hosts exchange. */
export type GossipTopicName = 'upstreams' | 'hosts' | 'verdicts' | 'preset';

/** Records of one kind that hosts exchange until all hold the newest version of each. */
export default interface GossipTopic {
  readonly name: GossipTopicName;
  /** Versions of all records held. */
  listVersions(now: number): GossipDigest;
  /** Records that are newer here than in the other side's digest, or missing there. */
  listNewer(digest: GossipDigest, now: number): readonly unknown[];
  /**
   * Takes the records that are newer than those held and ignores malformed ones. Returns true when
   * any of them should be passed on at once; a renewal that only extends a lease may wait for the
   * next regular exchange.
   */
  mergeRecords(records: readonly unknown[], now: number): boolean;
}
